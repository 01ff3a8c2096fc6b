"""Typed refusals: the reason, the remedy and whether the request may have been executed."""

import enum

import attrs


class Execution(enum.Enum):
    """Whether the work of a refused request was executed, as far as known."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Kind(enum.Enum):
    """Reason for a refusal, with its HTTP status and remedy."""

    BAD_REQUEST = (400, "send a JSON object with the fields of the API page")
    BAD_DEADLINE = (
        400,
        "send Request-Timeout-Ms as a whole number from 1 to the service's maximum",
    )
    BODY_TOO_LARGE = (413, "shorten the body to the service's limits.body_bytes")
    UNKNOWN_SERVICE = (404, "name a service of the published configuration")
    UNKNOWN_ACTION = (404, "name an action listed in the service file")
    NO_KEY = (400, "send an Idempotency-Key header of 1 to 200 characters")
    KEY_REUSED = (422, "use a new Idempotency-Key for a different request")
    NO_CONFIGURATION = (503, "retry at another VM; this one has no configuration yet")
    NO_SNAPSHOT = (503, "publish a snapshot for the service")
    OVERLOADED = (503, "retry after Retry-After; the targets bear no more at present")
    FAILURE_DOMAIN_OUT = (503, "retry at a VM of another failure domain")
    DEADLINE_EXCEEDED = (504, "retry with a longer Request-Timeout-Ms")
    COVERAGE_TOO_LOW = (503, "retry later; too few shards answered")
    CONFIGURATION_STALE = (503, "retry later; this VM has no fresh word of the configuration")
    OWNER_UNSETTLED = (503, "look up whether the action ran before sending it with a new key")
    OWNER_UNREACHABLE = (503, "look up whether the action ran, or repeat the key after Retry-After")
    ACTION_SHED = (503, "retry after Retry-After with the same key")
    ACTION_UNKNOWN = (502, "look up whether the action ran before sending it with a new key")
    INTERNAL_ERROR = (500, "look up whether the request ran before sending it again")

    def __new__(cls, status: int, remedy: str) -> "Kind":
        # A distinct value keeps kinds with the same status and remedy from becoming aliases.
        kind = object.__new__(cls)
        kind._value_ = len(cls.__members__)
        return kind

    def __init__(self, status: int, remedy: str) -> None:
        self.status = status
        self.remedy = remedy


@attrs.frozen
class Problem:
    """A refusal, sent as an RFC 9457 problem document.

    >>> Problem(Kind.OVERLOADED, "no capacity", Execution.NOT_RUN).body()["kind"]
    'overloaded'
    """

    kind: Kind
    detail: str
    execution: Execution = Execution.NOT_RUN
    retry_after_s: int | None = None

    @property
    def status(self) -> int:
        return self.kind.status

    def body(self) -> dict:
        """Return the problem document as a dictionary."""
        return {
            "type": f"urn:hyssopproxy:problem:{self.kind.name.lower()}",
            "title": self.kind.name.lower().replace("_", " "),
            "status": self.status,
            "detail": self.detail,
            "kind": self.kind.name.lower(),
            "execution": self.execution.value,
            "remedy": self.kind.remedy,
        }


class UserError(Exception):
    """Error that the operator can correct; the message states the remedy."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors
