"""Messages between daemons: tagged structs, encoded as msgpack arrays."""

import msgspec


class PeerInfo(msgspec.Struct, frozen=True, array_like=True):
    """State that a daemon reports about itself in pings and pongs."""

    vm: str
    address: str
    failure_domain: str
    incarnation: int
    version: int = 0
    confirmed_age_ms: int = -1  # time since the platform last had no newer version; -1: never
    is_leaving: bool = False
    cold_addresses: tuple[str, ...] = ()  # targets whose cold start the sender itself detected


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests the `PeerInfo` of a daemon."""

    sender: PeerInfo
    sent_at: float  # on the sender's clock


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping; `sent_at` is copied from the ping."""

    sender: PeerInfo
    sent_at: float


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Requests the configuration if it is newer than a version."""

    vm: str
    address: str
    newer_than: int


class ConfigReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Carries a published configuration, compressed with zlib."""

    version: int
    compressed: bytes


class ActionRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Forwards an action to the owner of its idempotency key."""

    vm: str
    incarnation: int
    address: str
    action_no: int
    service: str
    key: str
    timeout_ms: int
    body: bytes  # JSON


class ActionReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Returns the outcome of an action to the daemon that forwarded it."""

    action_no: int
    status: int
    body: bytes = b""
    kind: str = ""  # kind of the refusal; empty if the action has an outcome
    detail: str = ""
    execution: str = ""


Message = Ping | Pong | ConfigRequest | ConfigReply | ActionRequest | ActionReply
DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the encoded message."""
    return msgspec.msgpack.encode(message)


def decode(blob: bytes) -> Message | None:
    """Return the decoded message, or None if it is malformed."""
    try:
        return DECODER.decode(blob)
    except (msgspec.MsgspecError, RecursionError):
        return None
