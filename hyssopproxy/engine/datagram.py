"""Datagrams between daemons and their encoding."""

import enum
import typing

import msgspec

from hyssopproxy import address

Count = typing.Annotated[int, msgspec.Meta(ge=0)]
Small = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
Number = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]  # neither infinite nor NaN
Name = typing.Annotated[str, msgspec.Meta(max_length=200)]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one daemon, as sent in gossip."""

    ip: Name
    failure_domain: Name
    incarnation: Count  # wall-clock time of its start in microseconds
    heartbeat: Count
    version: Count  # version of its routing table
    revision: Count  # newest revision of published data that it has applied
    is_stale: bool = False  # its copy of the published data may be out of date
    link_mbps: Number = 0.0  # bandwidth of the link of its VM


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

    target_id: Name
    symptom: Symptom
    age_ms: Count
    ratio: Number = 0.0  # latency divided by the typical latency


class Reports(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Observations of targets, made by the sender or reported to it."""

    failure_domain: Name  # of the sender
    period_ms: Number  # period of the targets' pauses; 0 if unknown
    length_ms: Number  # length of a pause; 0 if the sender has not measured it
    reports: tuple[Report, ...]


class LostDomains(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Failure domains that a daemon cannot reach."""

    failure_domain: Name  # of the sender
    domains: tuple[Name, ...]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Request for a reply, to check whether the receiver is reachable."""

    ip: Name  # of the sender


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """An answer of a target that counted as slow or silent."""

    target_id: Name
    age_ms: Count
    ratio: Number = 0.0  # latency divided by the typical latency; 0 if a pause delayed it


class Answers(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Answers that show the recovery of targets."""

    answers: tuple[Answer, ...]


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """Counts of the requests for one resource and priority, in thousandths."""

    resource: Small  # hash of its name
    priority: Small
    offered: Small
    served: Small
    failed: Small
    tried: Small
    queued: Small


class LimitEntry(msgspec.Struct, frozen=True, array_like=True):
    """Rate of admitted requests for one resource, in thousandths per second and daemon."""

    resource: Small
    rate: Small


class Load(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Counts of the requests of a daemon, of which older ones weigh less, and its limits."""

    weight_ms: Small  # time that the counts stand for
    entries: tuple[LoadEntry, ...]
    limits: tuple[LimitEntry, ...] = ()


Message = Gossip | Reports | LostDomains | Ping | Answers | Load
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the encoded datagram."""
    return msgspec.msgpack.encode(message)


def decode(blob: bytes) -> Message | None:
    """Return the decoded message, or None if it is malformed."""
    try:
        message = _DECODER.decode(blob)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return message if all(map(address.is_ip, _addresses(message))) else None


def _addresses(message: Message) -> list[str]:
    """Return the IP addresses that a message names; datagrams are sent to them."""
    if isinstance(message, Gossip):
        return [message.sender.ip, *(record.ip for record in message.records)]
    return [message.ip] if isinstance(message, Ping) else []
