"""When to read the platform, under a budget that does not grow with the fleet."""

from hyssopproxy import configuration
from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import fleet
from hyssopproxy import state as states

WATCH_WAIT_MS = 1000  # of a watch; also how old the platform's word may get at a reader
RETRY_S = 0.2
MAX_RETRY_S = 5.0
STALE_RETRY_S = 1.0  # after a value that is not newer
LIST_INTERVAL_S = 5.0  # between two reads of the list of VMs
LOST_S = 3.0  # without word a daemon that is no reader reads now and then
FIRST_WORD_S = 0.5  # a daemon with seeds gives its peers this long before it reads


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
        return not state.seeds or now - state.started_at >= FIRST_WORD_S
    if fleet.is_reader(state, now):
        return True
    if now - max(state.config_confirmed_at, state.started_at) < LOST_S:
        return False
    domain = state.identity.failure_domain
    size = sum(vm.failure_domain == domain for vm in state.config.vms.values())
    state.next_read_at = now + size * state.rng.random()  # one read a second by all together
    return state.rng.random() < 0.5


def handle_arrived(
    state: states.State, arrived: event.ConfigArrived, now: float, out: list
) -> None:
    """Take in a value of the platform; an older one is no fresh word."""
    state.is_reading = False
    state.reads_failed = 0
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
    """Take in that the platform has nothing newer."""
    state.is_reading = False
    state.reads_failed = 0
    state.config_confirmed_at = max(state.config_confirmed_at, unchanged.requested_at)


def handle_failed(
    state: states.State, failed: event.ConfigReadFailed, now: float, out: list
) -> None:
    """Read again later, with jitter, so that daemons do not come back as a herd."""
    state.is_reading = False
    state.counters["platform_reads_failed"] += 1
    if state.reads_failed == 0:
        out.append(effect.Log("platform_lost", {"reason": failed.reason}))
    longest = min(MAX_RETRY_S, RETRY_S * 2 ** min(state.reads_failed, 8))
    state.reads_failed += 1
    state.next_read_at = now + longest * (0.5 + 0.5 * state.rng.random())


def handle_list(state: states.State, listed: event.VMListArrived, now: float, out: list) -> None:
    """Take in whether the platform lists this VM as leaving."""
    state.is_listed_leaving = state.identity.vm in listed.leaving
