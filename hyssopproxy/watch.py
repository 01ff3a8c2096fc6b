"""Schedules reads of the platform at a rate that does not grow with the number of daemons."""

from hyssopproxy import configuration
from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import fleet
from hyssopproxy import state as states

# How long the platform holds a read while there is no newer version. This also bounds the age of
# the last confirmation at a reader.
WATCH_WAIT_MS = 1000
RETRY_S = 0.2  # maximum delay after the first failed read; doubles with every further failure
MAX_RETRY_S = 5.0
STALE_RETRY_S = 1.0  # mean delay after a value that was not accepted
LIST_INTERVAL_S = 5.0  # mean interval between reads of the list of VMs
# Without a confirmation for this long, daemons that are not readers read occasionally.
FALLBACK_READ_AFTER_S = 3.0
SEED_WAIT_S = 0.5  # how long a new daemon with seeds waits for its peers' configuration


def handle_tick(state: states.State, now: float, out: list) -> None:
    """Start the reads that are due."""
    if not state.is_reading and now >= state.next_read_at and _may_read(state, now):
        state.is_reading = True
        state.counters["platform_reads"] += 1
        after = state.config.version if state.config else 0
        out.append(effect.ReadConfig(after, WATCH_WAIT_MS if state.config else 0))
    if now >= state.next_list_at and state.config and fleet.is_reader(state, now):
        state.next_list_at = now + LIST_INTERVAL_S * (0.5 + state.rng.random())
        state.counters["platform_reads"] += 1
        out.append(effect.ReadVMs())


def _may_read(state: states.State, now: float) -> bool:
    if state.config is None:
        return not state.seeds or now - state.started_at >= SEED_WAIT_S
    if fleet.is_reader(state, now):
        return True
    if now - max(state.config_confirmed_at, state.started_at) < FALLBACK_READ_AFTER_S:
        return False
    domain = state.identity.failure_domain
    size = sum(vm.failure_domain == domain for vm in state.config.vms.values())
    # The VMs of the domain together make about one read per second.
    state.next_read_at = now + size * state.rng.random()
    return state.rng.random() < 0.5


def handle_arrived(
    state: states.State, arrived: event.ConfigArrived, now: float, out: list
) -> None:
    """Apply a value read from the platform; an older one does not confirm the configuration."""
    state.is_reading = False
    state.consecutive_read_failures = 0
    before = state.counters["config_not_newer"]
    if configuration.accept(state, arrived.blob, now, out):
        state.config_confirmed_at = max(state.config_confirmed_at, arrived.requested_at)
        fleet.announce(state, now, out)
        return
    state.next_read_at = now + STALE_RETRY_S * (0.5 + state.rng.random())
    if state.counters["config_not_newer"] == before and not state.rejection:
        state.config_confirmed_at = max(state.config_confirmed_at, arrived.requested_at)


def handle_unchanged(
    state: states.State, unchanged: event.ConfigUnchanged, now: float, out: list
) -> None:
    """Record that the platform has no newer version."""
    state.is_reading = False
    state.consecutive_read_failures = 0
    state.config_confirmed_at = max(state.config_confirmed_at, unchanged.requested_at)


def handle_failed(
    state: states.State, failed: event.ConfigReadFailed, now: float, out: list
) -> None:
    """Schedule a retry with exponential backoff and jitter to avoid a thundering herd."""
    state.is_reading = False
    state.counters["platform_reads_failed"] += 1
    if state.consecutive_read_failures == 0:
        out.append(effect.Log("platform_lost", {"reason": failed.reason}))
    max_delay_s = min(MAX_RETRY_S, RETRY_S * 2 ** min(state.consecutive_read_failures, 8))
    state.consecutive_read_failures += 1
    state.next_read_at = now + max_delay_s * (0.5 + 0.5 * state.rng.random())


def handle_list(state: states.State, listed: event.VMListArrived, now: float, out: list) -> None:
    """Record whether the platform lists this VM as leaving."""
    state.is_listed_leaving = state.identity.vm in listed.leaving
