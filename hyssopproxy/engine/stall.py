"""Pauses that recur at a steady period, and when a target pauses next.

Answers the load pattern in which each target stands still for a moment at regular times, such as
for a collection or a compaction, each at times of its own: a search over dozens of shards nearly
always meets one. An answer that comes late shows when a pause ended; a few of them show the period,
which all targets have in common, and from then on one late answer tells when a target pauses next.
"""

import collections
import math

import attrs

MIN_PERIOD_S = 0.4  # shorter periods cannot be told from noise
MAX_PERIOD_S = 30.0
TOLERANCE_S = 0.02  # two ends this close to a multiple of the period agree
MERGE_S = 0.12  # answers held up by one pause come within this time of its end
KEPT_ENDS = 5  # newest pauses kept of a target
KEPT_GAPS = 192  # newest times between two pauses of a target, over all targets
REFRESH = 32  # gaps between two looks
MAX_REFRESH = 1024  # the same, after many looks that found nothing
REFRESH_GROWTH = 1.5  # of the gaps between two looks, for each that found nothing
CANDIDATES = 32  # newest gaps that a period is looked for among
DIVISORS = (1, 2, 3)  # a gap may span this many periods
MIN_SCORE = 8.0  # standard deviations by which the agreeing gaps of a period exceed chance
LOST_SCORE = 3.0  # a period with less than this is given up
KEPT_LENGTHS = 64  # newest delays that pauses caused
MIN_LENGTHS = 2  # before the length is known here
LENGTH_RANK = 0.8  # of these delays; some of them have other causes
LENGTH_MARGIN = 1.2  # over the delay of that rank, as few requests meet a pause at its start
MIN_EXCESS_S = 0.03  # a delay over the usual time that may be a pause
MIN_EXCESS = 1.5  # the same, in usual times
MAX_EXCESS_S = 1.5  # a longer delay is no pause


def may_be_pause(latency_s: float, typical_latency_s: float) -> bool:
    """Return whether an answer came so late that a pause may have held it up."""
    excess_s = latency_s - typical_latency_s
    return max(MIN_EXCESS_S, MIN_EXCESS * typical_latency_s) <= excess_s <= MAX_EXCESS_S


@attrs.define
class PausePattern:
    """Period and length of the pauses of all targets; a period of 0 is not known."""

    period_s: float = 0.0
    length_s: float = 0.0
    _gaps: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=KEPT_GAPS)
    )
    _since_look: int = 0  # gaps recorded since the last look
    _refresh_after: float = REFRESH
    _lengths: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=KEPT_LENGTHS)
    )

    @property
    def is_length_known(self) -> bool:
        """Whether the length comes from own observations."""
        return len(self._lengths) >= MIN_LENGTHS

    def record_gap(self, gap_s: float) -> None:
        """Take in the time between two late answers of one target."""
        if not MIN_PERIOD_S <= gap_s <= MAX_PERIOD_S:
            return
        self._gaps.append(gap_s)
        self._since_look += 1
        if self._since_look >= self._refresh_after:
            self._since_look = 0
            self._refresh()
            longer = min(MAX_REFRESH, REFRESH_GROWTH * self._refresh_after)
            self._refresh_after = REFRESH if self.period_s else longer

    def record_length(self, excess_s: float) -> None:
        """Take in how late a known pause made an answer."""
        self._lengths.append(excess_s)
        if self.is_length_known:
            self.length_s = (
                LENGTH_MARGIN * sorted(self._lengths)[int(LENGTH_RANK * len(self._lengths))]
            )

    def adopt(self, period_s: float, length_s: float) -> None:
        """Take over what another daemon has learnt, while less is known here."""
        if not MIN_PERIOD_S <= period_s <= MAX_PERIOD_S:
            return
        if self.period_s == 0.0:
            self.period_s = period_s
        if not self.is_length_known and 0.0 < length_s <= MAX_EXCESS_S:
            self.length_s = (self.length_s + length_s) / 2 if self.length_s else length_s

    def _refresh(self) -> None:
        if self.period_s and self._score(self.period_s) >= LOST_SCORE:
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
        """Return by how many standard deviations the multiples of a period exceed chance.

        Fractions of the true period explain as many gaps, but more of those by chance; its
        multiples explain fewer.
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
    """The newest pauses of one target; times in seconds of this daemon's clock."""

    ends: list[float] = attrs.field(factory=list)  # oldest first
    off_phase_ends: list[float] = attrs.field(
        factory=list
    )  # late answers that the phase doesn't explain
    _anchor: float | None = None  # an end that the others agree with
    _support: int = 0  # ends that agree with it, itself included
    _period_s: float = 0.0  # for which the anchor was found

    def record(self, end: float, pattern: PausePattern) -> bool:
        """Take in that a late answer came; return whether it tells something new.

        Late answers of a target with a known phase are no pauses when they come at other times.
        """
        for index, known in enumerate(self.ends):
            if abs(known - end) <= MERGE_S:
                self.ends[index] = min(known, end)  # the first answer is the closest to the end
                self._anchor = None
                return False
        if self.is_confirmed(pattern) and not self._is_in_phase(end):
            return self._record_stray(end, pattern)
        was_known = self.is_confirmed(pattern)
        self._add(end, pattern)
        return not was_known

    def _add(self, end: float, pattern: PausePattern) -> None:
        for known in self.ends:
            pattern.record_gap(abs(end - known))
        self.ends.append(end)
        self.ends.sort()
        del self.ends[:-KEPT_ENDS]
        self._anchor = None

    def _record_stray(self, end: float, pattern: PausePattern) -> bool:
        """Keep a late answer off the phase; two that agree are a new phase."""
        if any(abs(known - end) <= MERGE_S for known in self.off_phase_ends):
            return False
        agreeing = [
            known for known in self.off_phase_ends if _agrees(abs(end - known), self._period_s)
        ]
        self.off_phase_ends.append(end)
        del self.off_phase_ends[:-KEPT_ENDS]
        if agreeing:
            self.ends = sorted([*agreeing, end])
            self.off_phase_ends.clear()
            self._anchor = None
        return True

    def _is_in_phase(self, end: float) -> bool:
        return abs(_rest(end, self._anchor, self._period_s)) <= TOLERANCE_S + MERGE_S / 2

    def count_since(self, since: float) -> int:
        """Return how many separate late answers came after a time."""
        return sum(end >= since for end in (*self.ends, *self.off_phase_ends))

    def is_predictable(self, pattern: PausePattern) -> bool:
        """Return whether the next pause is known."""
        if not pattern.period_s or not self.ends:
            return False
        if self._anchor is None or self._period_s != pattern.period_s:
            self._find_anchor(pattern.period_s)
        return self._support >= 2 or len(self.ends) == 1

    def is_confirmed(self, pattern: PausePattern) -> bool:
        """Return whether the next pause is known from more than one earlier one."""
        return self.is_predictable(pattern) and self._support >= 2

    def reference_end(self, pattern: PausePattern) -> float:
        """Return an end of a pause to reckon from; only while predictable."""
        return self._anchor if self.is_predictable(pattern) else self.ends[-1]

    def _find_anchor(self, period_s: float) -> None:
        self._period_s = period_s
        self._support = 0
        for end in reversed(self.ends):
            rests = [_rest(other, end, period_s) for other in self.ends]
            agreeing = [rest for rest in rests if abs(rest) <= TOLERANCE_S]
            if len(agreeing) > self._support:
                self._support = len(agreeing)
                self._anchor = end + min(agreeing)

    def delay_s(self, now: float, typical_latency_s: float, pattern: PausePattern) -> float:
        """Return how long the next pause holds up a request that is sent now."""
        if not self.is_predictable(pattern):
            return 0.0
        end = self._next_end(now)
        if now + typical_latency_s <= end - pattern.length_s:
            return 0.0
        return min(end - now, pattern.length_s)

    def explains(
        self, sent_at: float, now: float, typical_latency_s: float, pattern: PausePattern
    ) -> bool:
        """Return whether a pause is why a request sent then has no answer until now."""
        if not self.is_predictable(pattern):
            return False
        end = self._next_end(sent_at - TOLERANCE_S)
        return end - pattern.length_s <= now <= end + typical_latency_s + MERGE_S

    def _next_end(self, now: float) -> float:
        periods = math.ceil((now - self._anchor) / self._period_s)
        return self._anchor + periods * self._period_s


def _rest(other: float, end: float, period_s: float) -> float:
    """Return by how much the time between two ends misses a multiple of the period."""
    gap = other - end
    return gap - round(gap / period_s) * period_s
