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
    has_quota: bool = False  # its version takes part in the quotas of organisations
    era: Count = 0  # of its published data; a revision is valid within it


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


class MisdirectedTarget(msgspec.Struct, frozen=True, array_like=True):
    """One start of a target at whose address another target answers."""

    target_id: Name
    address: Name
    started_at_ms: Count


class Misdirected(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Targets at whose addresses other targets answer."""

    targets: tuple[MisdirectedTarget, ...]


class QuotaItem(msgspec.Struct, frozen=True, array_like=True):
    """Report and question of a daemon about one organisation; counts since its start."""

    organisation: Count
    used: Count  # requests admitted with credits
    held: Count  # credits left
    wanted: Count  # requests that wait for a credit
    spare: Count  # credits that it would hold in advance
    version: Count  # of the configuration that the limit is from
    rate_per_s: Number
    burst: Number


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Question for credits to the owner of some organisations."""

    ip: Name  # of the sender
    incarnation: Count
    ask_no: Count  # increases; an answer is valid for the latest question alone
    items: tuple[QuotaItem, ...]


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """Answer about one organisation."""

    organisation: Count
    granted: Count  # requests that the daemon may admit, since its start
    retry_ms: Count  # time until there is a token for the requests refused
    owner: Name = ""  # set if the sender is not the owner: who may be, or "?"
    pooled: Count = 0  # requests that it admits from the uncertain amount, not in `granted`


class QuotaAnswer(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Answer to a question for credits."""

    ip: Name  # of the sender
    ask_no: Count
    items: tuple[QuotaGrant, ...]


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


Message = (
    Gossip | Reports | LostDomains | Ping | Answers | Misdirected | QuotaAsk | QuotaAnswer | Load
)
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
    if isinstance(message, QuotaAnswer):
        owners = [item.owner for item in message.items if item.owner not in ("", "?")]
        return [message.ip, *owners]
    return [message.ip] if isinstance(message, Ping | QuotaAsk) else []
