"""Computes the tables of docs/CAPACITY.md from measured costs."""

import attrs

from hyssopproxy import fleet
from hyssopproxy import freshness
from hyssopproxy import watch


@attrs.frozen
class Requirements:
    """Size of the users' fleet in two years, and the limits that they set."""

    daemons: int = 410
    leaves: int = 3100
    leaves_per_address: int = 3
    searches_per_s: int = 59_000
    shards: int = 110
    domains: int = 7
    changes_per_day: int = 270
    replaced_per_day: int = 1300
    control_core: float = 0.029
    control_mb: float = 256.0
    control_bytes_per_s: float = 6000.0
    platform_reads_per_s: float = 2000.0
    in_force_s: float = 17.0
    p99_ms: float = 56.0
    connections_per_leaf: int = 50
    slots_per_leaf: int = 6

    @property
    def searches_per_daemon(self) -> float:
        """Searches per second at one daemon."""
        return self.searches_per_s / self.daemons

    @property
    def sub_searches_per_daemon(self) -> float:
        """Sub-searches per second at one daemon."""
        return self.searches_per_daemon * self.shards

    @property
    def addresses(self) -> int:
        """Number of addresses of all leaves."""
        return self.leaves // self.leaves_per_address

    @property
    def daemons_per_domain(self) -> float:
        """Number of daemons in a failure domain."""
        return self.daemons / self.domains


REQUIRED = Requirements()
COLLECT_MS = 3.0  # time for which sub-searches of several searches are collected into a request
OWNERS = 10  # owner daemons that the shards of a search are divided among
WINDOW_S = 60.0  # default of the action window
REUSE = "`config` reuses unchanged services"
Row = tuple[str, ...]


def render(figures: dict[str, dict]) -> str:
    """Return the tables in Markdown."""
    sections = [
        ("Ways to batch sub-searches into requests", _batching_rows(figures)),
        ("Entry: a daemon of the present design at the two-year size", _entry_rows(figures)),
        ("Control: configuration reader, peers, shares", _control_rows(figures)),
        ("Events", _event_rows(figures)),
    ]
    return "\n".join(f"### {title}\n\n{_table(rows)}\n" for title, rows in sections)


def _table(rows: list[Row]) -> str:
    head, *body = rows
    lines = [f"| {' | '.join(head)} |", f"| {' | '.join('---' for _ in head)} |"]
    return "\n".join(lines + [f"| {' | '.join(row)} |" for row in body])


def cpu_per_search_us(slopes: dict[str, float], requests: float) -> float:
    """Return the CPU time of one search over the required number of shards."""
    return slopes["search"] + slopes["shard"] * REQUIRED.shards + slopes["request"] * requests


def _batching_rows(figures: dict[str, dict]) -> list[Row]:
    """Return requests per search, cores per daemon and added latency of each way to batch."""
    slopes, hop = figures["cost"]["slopes_us"], figures["hop"]
    searches = REQUIRED.searches_per_daemon
    coalesced = searches * REQUIRED.shards / REQUIRED.addresses * COLLECT_MS / 1000
    cores_with_owners = _cores_with_owners(slopes, hop)
    rows: list[Row] = [
        ("way", "requests per search", "cores per daemon", "ratio to 0.6", "added latency")
    ]
    ways = [
        ("one request per shard", float(REQUIRED.shards), 0.0),
        (
            "one request for all leaves of an address",
            REQUIRED.shards / REQUIRED.leaves_per_address,
            0.0,
        ),
        (
            f"several searches per request, collected for {COLLECT_MS:g} ms",
            REQUIRED.shards / REQUIRED.leaves_per_address / (1.0 + coalesced),
            COLLECT_MS,
        ),
    ]
    for name, requests, added_ms in ways:
        cores = cpu_per_search_us(slopes, requests) * searches / 1e6
        rows.append(_batching_row(name, f"{requests:.1f}", cores, added_ms))
    name = f"{OWNERS} owner daemons per search, which collect for {COLLECT_MS:g} ms and merge"
    rows.append(_batching_row(name, f"{OWNERS} messages", cores_with_owners, COLLECT_MS))
    return rows


def _batching_row(name: str, requests: str, cores: float, added_ms: float) -> Row:
    return (name, requests, f"{cores:.2f}", f"{cores / 0.6:.1f}", f"{added_ms:g} ms")


def _cores_with_owners(slopes: dict[str, float], hop: dict) -> float:
    """Return the cores used by a daemon that is both entry and owner.

    Entry: the fixed cost of a search and one exchange with each owner. Owner: the cost of a shard
    for each sub-search, and one request for each address and collection period.
    """
    searches = REQUIRED.searches_per_daemon
    shards_per_owner = REQUIRED.shards / OWNERS
    exchange_us = hop["us_a_batch"] + hop["us_a_shard"] * shards_per_owner
    entry_us = searches * (slopes["search"] + OWNERS * exchange_us)
    addresses = REQUIRED.addresses / REQUIRED.daemons
    requests = addresses * 1000 / COLLECT_MS
    owner_us = REQUIRED.sub_searches_per_daemon * slopes["shard"] + requests * slopes["request"]
    return (entry_us + owner_us) / 1e6


def _entry_rows(figures: dict[str, dict]) -> list[Row]:
    cost = figures["cost"]
    slopes = cost["slopes_us"]
    requests = REQUIRED.shards / REQUIRED.leaves_per_address
    cores = cpu_per_search_us(slopes, requests) * REQUIRED.searches_per_daemon / 1e6
    in_flight = REQUIRED.searches_per_daemon * REQUIRED.p99_ms / 1000
    memory = cost["rows"][-1]["memory_mb"] + figures["config"]["values"][-1]["state_mb"]
    connections = REQUIRED.connections_per_leaf * REQUIRED.leaves_per_address / REQUIRED.daemons
    local_connections = (
        REQUIRED.connections_per_leaf * REQUIRED.leaves_per_address / REQUIRED.daemons_per_domain
    )
    slots = REQUIRED.slots_per_leaf / REQUIRED.daemons_per_domain
    return [
        ("item", "at the two-year size", "required", "ratio", "mechanism"),
        _row("searches", f"{REQUIRED.searches_per_daemon:.0f}/s", "", "", "balancer"),
        _row(
            "sub-searches",
            f"{REQUIRED.sub_searches_per_daemon:.0f}/s",
            "",
            "",
            "`dispatch`, batched",
        ),
        _row(
            "CPU", f"{cores:.2f} cores", "0.6", f"{cores / 0.6:.1f}", "`dispatch`, `targetclient`"
        ),
        _row("memory", f"{memory:.0f} MB", "256 MB", f"{memory / 256:.2f}", "`state`"),
        _row("searches in flight", f"{in_flight:.0f}", "1000", "", "`queries_in_flight`"),
        _row(
            "connections to an address per daemon, all daemons sharing",
            f"{connections:.2f}",
            "1",
            f"{1 / connections:.1f}",
            "`target`",
        ),
        _row(
            "the same, only daemons of its domain sharing",
            f"{local_connections:.2f}",
            "1",
            f"{1 / local_connections:.2f}",
            "needs owner daemons",
        ),
        _row(
            "slots of a leaf per daemon, only daemons of its domain sharing",
            f"{slots:.2f}",
            "1",
            f"{1 / slots:.1f}",
            "needs owner daemons",
        ),
    ]


def _row(*cells: str) -> Row:
    return cells


def _control_rows(figures: dict[str, dict]) -> list[Row]:
    rows = figures["control"]["rows"]
    last = rows[-1]
    value = figures["config"]["values"][-1]
    changes_per_s = REQUIRED.changes_per_day / 86400
    # Each value is received once and forwarded once.
    spread_bytes_per_s = changes_per_s * value["packed_bytes"] * 2
    bytes_per_s = last["bytes_per_s"] + spread_bytes_per_s
    reads = (
        REQUIRED.domains
        * fleet.READERS_PER_DOMAIN
        * (1000 / watch.WATCH_WAIT_MS + 1 / watch.LIST_INTERVAL_S)
    )
    accept_core = changes_per_s * value["one_service_ms"] / 1000
    core = last["core"] + accept_core
    memory = last["memory_mb"] + value["state_mb"]
    propagation_s = figures["config"]["rows"][-1]["worst_s"]
    return [
        ("item", "at the two-year size", "required", "ratio", "mechanism"),
        _compare("CPU", core, REQUIRED.control_core, "core", "`fleet` pings, `watch`, ticks"),
        _compare("memory", memory, REQUIRED.control_mb, "MB", "`state`, one configuration"),
        _compare(
            "bytes per second", bytes_per_s, REQUIRED.control_bytes_per_s, "B/s", "`message`, zlib"
        ),
        _compare(
            "platform reads", reads, REQUIRED.platform_reads_per_s, "/s", "two readers per domain"
        ),
        _compare(
            "time until in force, 40 daemons",
            propagation_s,
            REQUIRED.in_force_s,
            "s",
            "`fleet.announce`",
        ),
        _row(
            "configuration value",
            f"{value['bytes'] / 1e3:.0f} KB",
            "1 MB",
            "",
            "`servicefile`, `config`",
        ),
        _compare(
            "pause at the first value", value["accept_ms"], REQUIRED.p99_ms, "ms", "at startup"
        ),
        _compare(
            "pause when a domain goes out", value["domain_out_ms"], REQUIRED.p99_ms, "ms", REUSE
        ),
        _compare(
            "pause when a service changes", value["one_service_ms"], REQUIRED.p99_ms, "ms", REUSE
        ),
    ]


def _compare(name: str, value: float, limit: float, unit: str, mechanism: str) -> Row:
    return (name, f"{value:.3g} {unit}", f"{limit:g}", f"{value / limit:.2f}", mechanism)


def _event_rows(figures: dict[str, dict]) -> list[Row]:
    value = figures["config"]["values"][-1]
    remaining = REQUIRED.daemons * (1 - 1 / REQUIRED.domains)
    replacement_s = 86400 / REQUIRED.replaced_per_day
    moved = WINDOW_S / replacement_s / REQUIRED.daemons
    restart_mb = REQUIRED.daemons * value["bytes"] / 1e6
    rack_vms = 10
    return [
        ("event", "effect at that size", "mechanism"),
        (
            f"{REQUIRED.replaced_per_day} VMs replaced per day",
            f"one every {replacement_s:.0f} s; {moved:.2%} of keys are refused at any time "
            f"(window {WINDOW_S:g} s); two configuration changes per VM unless the list of VMs "
            "carries them",
            "membership and settling in `share` and `action`",
        ),
        (
            "a rack lost (10 VMs)",
            f"{rack_vms / REQUIRED.daemons:.1%} of keys are refused until the list of VMs "
            f"drops these VMs and the window ends; searches continue; pings detect the loss within "
            f"{freshness.SILENCE_TIMEOUT_S:g} s",
            "`freshness.is_silent`, backoff in `target`",
        ),
        (
            "a domain lost at full load",
            f"{REQUIRED.searches_per_s / remaining:.0f} searches/s per daemon; the others need "
            f"{1 / (1 - 1 / REQUIRED.domains) - 1:.0%} spare capacity, otherwise admission refuses "
            "the rest",
            "limits in `target`, admission in `search`",
        ),
        (
            "a region cut off (3 of 7 domains)",
            f"the rest needs {7 / 4 - 1:.0%} spare capacity if its callers move; the region "
            "continues with its own domains as long as peers in them answer",
            "`freshness.has_recent_contact`",
        ),
        (
            "full fleet restart",
            f"{REQUIRED.daemons} reads, {restart_mb:.0f} MB from the platform, spread by ticks "
            f"of 0.1 s and by retries with jitter; actions are refused for {WINDOW_S:g} s",
            "`watch`",
        ),
    ]
