"""Detection of pauses that recur at a steady period, and prediction of a target's next pause.

Handles the load pattern in which each target pauses briefly at regular intervals, for example for a
garbage collection or a compaction. The targets pause at different times, so that a search over
dozens of shards nearly always reaches a paused target. A late answer shows when a pause ended. A
few late answers show the period, which all targets have in common; from then on, one late answer of
a target is enough to predict its next pause.
"""

import collections
import math

import attrs

MIN_PERIOD_S = 0.4  # shorter periods cannot be distinguished from noise
MAX_PERIOD_S = 30.0
TOLERANCE_S = 0.02  # a gap agrees with a period if it is this close to a multiple of it
MERGE_S = 0.12  # answers that one pause delays arrive within this time of its end
KEPT_ENDS = 5  # newest pauses kept per target
KEPT_GAPS = 192  # newest gaps between two pauses of a target, kept for all targets together
GAPS_PER_SEARCH = 32  # new gaps between two searches for the period
MAX_GAPS_PER_SEARCH = 1024  # upper limit of the same, reached while searches find no period
SEARCH_BACKOFF = 1.5  # growth of the gaps per search after a search that found no period
CANDIDATES = 32  # newest gaps that candidate periods are derived from
DIVISORS = (1, 2, 3)  # a gap may span this many periods
MIN_SCORE = 8.0  # standard deviations by which a new period's agreeing gaps must exceed chance
DISCARD_SCORE = 3.0  # a known period that scores less is discarded
KEPT_LENGTHS = 64  # newest delays caused by pauses
MIN_LENGTHS = 2  # delays needed to measure the length of a pause
LENGTH_RANK = 0.8  # quantile of the delays taken as the length; some delays have other causes
LENGTH_MARGIN = 1.2  # factor over that quantile, as few requests arrive at the start of a pause
MIN_EXCESS_S = 0.03  # least delay over the typical latency that may be a pause
MIN_EXCESS_RATIO = 1.5  # the same, as a multiple of the typical latency
MAX_EXCESS_S = 1.5  # a longer delay is not a pause


def may_be_pause(latency_s: float, typical_latency_s: float) -> bool:
    """Return whether an answer is so late that a pause may have delayed it."""
    excess_s = latency_s - typical_latency_s
    return max(MIN_EXCESS_S, MIN_EXCESS_RATIO * typical_latency_s) <= excess_s <= MAX_EXCESS_S


@attrs.define
class PausePattern:
    """Period and length of the pauses of all targets; 0 means unknown."""

    period_s: float = 0.0
    length_s: float = 0.0
    _gaps: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=KEPT_GAPS)
    )
    _gaps_since_search: int = 0
    _gaps_per_search: float = GAPS_PER_SEARCH
    _lengths: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=KEPT_LENGTHS)
    )

    @property
    def is_length_measured(self) -> bool:
        """Whether this daemon has measured the length itself."""
        return len(self._lengths) >= MIN_LENGTHS

    def record_gap(self, gap_s: float) -> None:
        """Record the time between two late answers of one target."""
        if not MIN_PERIOD_S <= gap_s <= MAX_PERIOD_S:
            return
        self._gaps.append(gap_s)
        self._gaps_since_search += 1
        if self._gaps_since_search >= self._gaps_per_search:
            self._gaps_since_search = 0
            self._update_period()
            longer = min(MAX_GAPS_PER_SEARCH, SEARCH_BACKOFF * self._gaps_per_search)
            self._gaps_per_search = GAPS_PER_SEARCH if self.period_s else longer

    def record_length(self, excess_s: float) -> None:
        """Record by how much a predicted pause delayed an answer."""
        self._lengths.append(excess_s)
        if self.is_length_measured:
            self.length_s = (
                LENGTH_MARGIN * sorted(self._lengths)[int(LENGTH_RANK * len(self._lengths))]
            )

    def adopt(self, period_s: float, length_s: float) -> None:
        """Adopt the estimates of another daemon where this daemon has none of its own."""
        if not MIN_PERIOD_S <= period_s <= MAX_PERIOD_S:
            return
        if self.period_s == 0.0:
            self.period_s = period_s
        if not self.is_length_measured and 0.0 < length_s <= MAX_EXCESS_S:
            self.length_s = (self.length_s + length_s) / 2 if self.length_s else length_s

    def _update_period(self) -> None:
        if self.period_s and self._score(self.period_s) >= DISCARD_SCORE:
            self.period_s = self._refine(self.period_s)
            return
        self.period_s = 0.0
        candidates = {
            round(gap / divisor, 2)
            for gap in list(self._gaps)[-CANDIDATES:]
            for divisor in DIVISORS
            if gap / divisor >= MIN_PERIOD_S
        }
        best = max(candidates, key=self._score, default=0.0)
        if best and self._score(best) >= MIN_SCORE:
            self.period_s = self._refine(best)

    def _score(self, period_s: float) -> float:
        """Return by how many standard deviations the gaps that agree with a period exceed chance.

        A fraction of the true period agrees with as many gaps, but with more of them by chance; a
        multiple of it agrees with fewer gaps.
        """
        chance = 2 * TOLERANCE_S / period_s
        count = len(self._gaps)
        agreeing = sum(_agrees(gap, period_s) for gap in self._gaps)
        return (agreeing - count * chance) / math.sqrt(count * chance * (1.0 - chance))

    def _refine(self, period_s: float) -> float:
        agreeing = [gap for gap in self._gaps if _agrees(gap, period_s)]
        return sum(agreeing) / sum(round(gap / period_s) for gap in agreeing)


def _agrees(gap_s: float, period_s: float) -> bool:
    periods = round(gap_s / period_s)
    return periods > 0 and abs(gap_s - periods * period_s) <= TOLERANCE_S


@attrs.define
class PauseHistory:
    """The newest pauses of one target; times in seconds by this daemon's clock."""

    ends: list[float] = attrs.field(factory=list)  # of the pauses, oldest first
    off_phase_ends: list[float] = attrs.field(factory=list)  # late answers out of phase
    _anchor: float | None = None  # pause end that defines the phase
    _support: int = 0  # ends that agree with the anchor, itself included
    _period_s: float = 0.0  # period that the anchor was computed for

    def record(self, end: float, pattern: PausePattern) -> bool:
        """Record a late answer, received at `end`; return whether it is new information.

        Once the phase of the target is confirmed, an answer out of phase does not count as a pause.
        """
        for index, other in enumerate(self.ends):
            if abs(other - end) <= MERGE_S:
                self.ends[index] = min(other, end)  # the first answer is closest to the end
                self._anchor = None
                return False
        if self.is_confirmed(pattern) and not self._is_in_phase(end):
            return self._record_off_phase(end, pattern)
        was_confirmed = self.is_confirmed(pattern)
        self._add_end(end, pattern)
        return not was_confirmed

    def _add_end(self, end: float, pattern: PausePattern) -> None:
        for other in self.ends:
            pattern.record_gap(abs(end - other))
        self.ends.append(end)
        self.ends.sort()
        del self.ends[:-KEPT_ENDS]
        self._anchor = None

    def _record_off_phase(self, end: float, pattern: PausePattern) -> bool:
        """Record a late answer out of phase; two that are whole periods apart give a new phase."""
        if any(abs(other - end) <= MERGE_S for other in self.off_phase_ends):
            return False
        agreeing = [
            other for other in self.off_phase_ends if _agrees(abs(end - other), self._period_s)
        ]
        self.off_phase_ends.append(end)
        del self.off_phase_ends[:-KEPT_ENDS]
        if agreeing:
            self.ends = sorted([*agreeing, end])
            self.off_phase_ends.clear()
            self._anchor = None
        return True

    def _is_in_phase(self, end: float) -> bool:
        return abs(_phase_error(end, self._anchor, self._period_s)) <= TOLERANCE_S + MERGE_S / 2

    def count_since(self, since: float) -> int:
        """Return how many separate late answers were received since a time."""
        return sum(end >= since for end in (*self.ends, *self.off_phase_ends))

    def is_predictable(self, pattern: PausePattern) -> bool:
        """Return whether the next pause can be predicted."""
        if not pattern.period_s or not self.ends:
            return False
        if self._anchor is None or self._period_s != pattern.period_s:
            self._find_anchor(pattern.period_s)
        return self._support >= 2 or len(self.ends) == 1

    def is_confirmed(self, pattern: PausePattern) -> bool:
        """Return whether the prediction of the next pause rests on more than one earlier pause."""
        return self.is_predictable(pattern) and self._support >= 2

    def reference_end(self, pattern: PausePattern) -> float:
        """Return the pause end from which others are predicted; requires `is_predictable`."""
        return self._anchor if self.is_predictable(pattern) else self.ends[-1]

    def _find_anchor(self, period_s: float) -> None:
        self._period_s = period_s
        self._support = 0
        for end in reversed(self.ends):
            errors = [_phase_error(other, end, period_s) for other in self.ends]
            agreeing = [error for error in errors if abs(error) <= TOLERANCE_S]
            if len(agreeing) > self._support:
                self._support = len(agreeing)
                self._anchor = end + min(agreeing)

    def delay_s(self, now: float, typical_latency_s: float, pattern: PausePattern) -> float:
        """Return the delay that the next pause causes for a request sent now."""
        if not self.is_predictable(pattern):
            return 0.0
        end = self._next_end(now)
        if now + typical_latency_s <= end - pattern.length_s:
            return 0.0
        return min(end - now, pattern.length_s)

    def explains(
        self, sent_at: float, now: float, typical_latency_s: float, pattern: PausePattern
    ) -> bool:
        """Return whether a pause explains why a request sent at `sent_at` has no answer by now."""
        if not self.is_predictable(pattern):
            return False
        end = self._next_end(sent_at - TOLERANCE_S)
        return end - pattern.length_s <= now <= end + typical_latency_s + MERGE_S

    def _next_end(self, now: float) -> float:
        periods = math.ceil((now - self._anchor) / self._period_s)
        return self._anchor + periods * self._period_s


def _phase_error(other: float, end: float, period_s: float) -> float:
    """Return how far the time between two ends is from the nearest multiple of the period."""
    gap = other - end
    return gap - round(gap / period_s) * period_s
