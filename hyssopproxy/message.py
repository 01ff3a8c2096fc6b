"""Messages between daemons (msgpack); each is one tagged struct."""

import msgspec


class Word(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon knows, carried by pings and pongs."""

    vm: str
    address: str
    failure_domain: str
    incarnation: int
    version: int = 0
    fresh_age_ms: int = -1  # since the platform had nothing newer; -1 for never
    is_leaving: bool = False
    cold: tuple[str, ...] = ()  # addresses that this daemon itself saw turn cold just now


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks a daemon for its word."""

    word: Word
    sent_at: float  # by the clock of the sender


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping; `sent_at` is the ping's."""

    word: Word
    sent_at: float


class Want(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks for the configuration value newer than a version."""

    vm: str
    address: str
    after: int


class Value(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Carries a configuration value, compressed by zlib."""

    version: int
    blob: bytes


class PassAction(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Passes an action on to the owner of its key."""

    vm: str
    incarnation: int
    address: str
    action_no: int
    service: str
    key: str
    timeout_ms: int
    body: bytes  # JSON


class ActionReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Carries the outcome of an action back to the daemon that passed it on."""

    action_no: int
    status: int
    body: bytes = b""
    kind: str = ""  # of the refusal; empty for an outcome
    detail: str = ""
    execution: str = ""


Message = Ping | Pong | Want | Value | PassAction | ActionReply
DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode(blob: bytes) -> Message | None:
    """Return the message, or None for a garbled one."""
    try:
        return DECODER.decode(blob)
    except (msgspec.MsgspecError, RecursionError):
        return None
