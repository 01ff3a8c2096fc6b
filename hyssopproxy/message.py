"""Messages between daemons (msgpack); each is one tagged struct."""

import msgspec


class PeerInfo(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon knows, carried by pings and pongs."""

    vm: str
    address: str
    failure_domain: str
    incarnation: int
    version: int = 0
    confirmed_age_ms: int = -1  # since the platform had nothing newer; -1 for never
    is_leaving: bool = False
    cold_addresses: tuple[str, ...] = ()  # addresses that this daemon itself saw turn cold just now


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks a daemon for its word."""

    sender: PeerInfo
    sent_at: float  # by the clock of the sender


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping; `sent_at` is the ping's."""

    sender: PeerInfo
    sent_at: float


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks for the configuration value newer than a version."""

    vm: str
    address: str
    newer_than: int


class ConfigReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Carries a configuration value, compressed by zlib."""

    version: int
    compressed: bytes


class ActionRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
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


Message = Ping | Pong | ConfigRequest | ConfigReply | ActionRequest | ActionReply
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
