"""Datagrams between daemons, and their bytes."""

import enum

import msgspec


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is told of one daemon."""

    ip: str
    failure_domain: str
    incarnation: int  # wall-clock microseconds of its start
    heartbeat: int
    version: int  # of its routing table
    revision: int  # of the newest published change it took in
    is_stale: bool = False  # its view may be stale
    link_mbps: float = 0.0  # of its VM


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Which daemons there are: the sender first, then some of those it heard of lately."""

    sender: MemberRecord
    records: tuple[MemberRecord, ...]


class Symptom(enum.IntEnum):
    """What was seen of a target."""

    LATE = 0  # an answer came late
    SILENT = 1  # a request is long past its usual time
    FAILED = 2  # it shed or failed a request


class Report(msgspec.Struct, frozen=True, array_like=True):
    """One thing seen of a target; ages tell the time, as clocks differ."""

    target_id: str
    symptom: Symptom
    age_ms: int
    ratio: float = 0.0  # latency against what is usual


class Reports(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What a daemon of a failure domain saw or was told of targets."""

    failure_domain: str
    period_ms: float  # of the targets' pauses; 0 while not known
    length_ms: float  # 0 while the sender has not measured it
    reports: tuple[Report, ...]


class LostDomains(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Which failure domains a daemon has found out of reach."""

    failure_domain: str  # of the daemon
    domains: tuple[str, ...]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks a daemon for a sign of life."""

    ip: str  # of who asks


Message = Gossip | Reports | LostDomains | Ping
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the bytes of a datagram."""
    return msgspec.msgpack.encode(message)


def decode(blob: bytes) -> Message | None:
    """Return the message, or None for a garbled one."""
    try:
        return _DECODER.decode(blob)
    except (msgspec.MsgspecError, RecursionError):
        return None
