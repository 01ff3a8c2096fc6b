"""Datagrams between daemons and their encoding."""

import enum

import msgspec


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one daemon, as sent in gossip."""

    ip: str
    failure_domain: str
    incarnation: int  # wall-clock time of its start in microseconds
    heartbeat: int
    version: int  # version of its routing table
    revision: int  # newest revision of published data that it has applied
    is_stale: bool = False  # its copy of the published data may be out of date
    link_mbps: float = 0.0  # bandwidth of the link of its VM


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """States of the sender and of some daemons of which it has received a recent heartbeat."""

    sender: MemberRecord
    records: tuple[MemberRecord, ...]


class Symptom(enum.IntEnum):
    """Symptom of a target that a daemon has observed."""

    LATE = 0  # an answer was late
    SILENT = 1  # a request has had no answer for much longer than usual
    FAILED = 2  # it shed or failed a request


class Report(msgspec.Struct, frozen=True, array_like=True):
    """An observation of a target; its time is sent as an age, as clocks differ."""

    target_id: str
    symptom: Symptom
    age_ms: int
    ratio: float = 0.0  # latency divided by the typical latency


class Reports(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Observations of targets, made by the sender or reported to it."""

    failure_domain: str  # of the sender
    period_ms: float  # period of the targets' pauses; 0 if unknown
    length_ms: float  # length of a pause; 0 if the sender has not measured it
    reports: tuple[Report, ...]


class LostDomains(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Failure domains that a daemon cannot reach."""

    failure_domain: str  # of the sender
    domains: tuple[str, ...]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Request for a reply, to check whether the receiver is reachable."""

    ip: str  # of the sender


Message = Gossip | Reports | LostDomains | Ping
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the encoded datagram."""
    return msgspec.msgpack.encode(message)


def decode(blob: bytes) -> Message | None:
    """Return the decoded message, or None if it is malformed."""
    try:
        return _DECODER.decode(blob)
    except (msgspec.MsgspecError, RecursionError):
        return None
