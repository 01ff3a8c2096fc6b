"""Computes docs/CAPACITY.md from the measured slopes."""

import attrs

from hyssopproxy import fleet
from hyssopproxy import freshness
from hyssopproxy import watch


@attrs.frozen
class Target:
    """The users' two-year size."""

    daemons: int = 410
    leaves: int = 3100
    leaves_an_address: int = 3
    searches_per_s: int = 59_000
    shards: int = 110
    domains: int = 7
    changes_a_day: int = 270
    replaced_a_day: int = 1300
    control_core: float = 0.029
    control_mb: float = 256.0
    control_bytes_per_s: float = 6000.0
    platform_reads_per_s: float = 2000.0
    force_s: float = 17.0
    p99_ms: float = 56.0
    connections_a_leaf: int = 50
    slots_a_leaf: int = 6

    @property
    def searches_a_daemon(self) -> float:
        """Searches a second at one daemon."""
        return self.searches_per_s / self.daemons

    @property
    def shards_a_daemon(self) -> float:
        """Sub-searches a second at one daemon."""
        return self.searches_a_daemon * self.shards

    @property
    def addresses(self) -> int:
        """Addresses of all leaves."""
        return self.leaves // self.leaves_an_address

    @property
    def domain_daemons(self) -> float:
        """Daemons of one failure domain."""
        return self.daemons / self.domains


TARGET = Target()
GATHER_MS = 3.0  # an owner's gathering time in the third way
OWNERS = 10  # daemons that a search's shards are spread over in the third way
WINDOW_S = 60.0  # default action window
UNCHANGED = "`config` keeps unchanged services"
Row = tuple[str, ...]


def render(figures: dict[str, dict]) -> str:
    """Return the tables as Markdown."""
    sections = [
        ("Ways to fill a request", _ways(figures)),
        ("Entry: what runs today, a daemon at the two-year size", _entry(figures)),
        ("Control: configuration reader, peers, shares", _control(figures)),
        ("Events", _events(figures)),
    ]
    return "\n".join(f"### {title}\n\n{_table(rows)}\n" for title, rows in sections)


def _table(rows: list[Row]) -> str:
    head, *body = rows
    lines = [f"| {' | '.join(head)} |", f"| {' | '.join('---' for _ in head)} |"]
    return "\n".join(lines + [f"| {' | '.join(row)} |" for row in body])


def cpu_a_search_us(slopes: dict[str, float], requests: float) -> float:
    """Return the CPU of one search at the target's number of shards."""
    return slopes["search"] + slopes["shard"] * TARGET.shards + slopes["request"] * requests


def _ways(figures: dict[str, dict]) -> list[Row]:
    """Return requests a search, cores a daemon and added time of each way."""
    slopes, hop = figures["cost"]["slopes_us"], figures["hop"]
    searches = TARGET.searches_a_daemon
    together = searches * TARGET.shards / TARGET.addresses * GATHER_MS / 1000
    third = _owners_cores(slopes, hop)
    rows: list[Row] = [("way", "requests a search", "cores a daemon", "ratio to 0.6", "adds")]
    ways = [
        ("one request a shard", float(TARGET.shards), 0.0),
        ("all leaves of an address", TARGET.shards / TARGET.leaves_an_address, 0.0),
        (
            f"several searches at once, {GATHER_MS:g} ms gathered",
            TARGET.shards / TARGET.leaves_an_address / (1.0 + together),
            GATHER_MS,
        ),
    ]
    for name, requests, added in ways:
        cores = cpu_a_search_us(slopes, requests) * searches / 1e6
        rows.append(_way(name, f"{requests:.1f}", cores, added))
    name = f"{OWNERS} owner daemons a search, they gather {GATHER_MS:g} ms and merge"
    rows.append(_way(name, f"{OWNERS} messages", third, GATHER_MS))
    return rows


def _way(name: str, requests: str, cores: float, added_ms: float) -> Row:
    return (name, requests, f"{cores:.2f}", f"{cores / 0.6:.1f}", f"{added_ms:g} ms")


def _owners_cores(slopes: dict[str, float], hop: dict) -> float:
    """Return the cores of a daemon that is entry and owner at once.

    Entry: the fixed cost of a search and one exchange with each owner. Owner: a shard's cost for
    each sub-search, and a request for each address and gathering time.
    """
    searches = TARGET.searches_a_daemon
    batch = TARGET.shards / OWNERS
    exchange = hop["us_a_batch"] + hop["us_a_shard"] * batch
    entry = searches * (slopes["search"] + OWNERS * exchange)
    addresses = TARGET.addresses / TARGET.daemons
    requests = addresses * 1000 / GATHER_MS
    owner = TARGET.shards_a_daemon * slopes["shard"] + requests * slopes["request"]
    return (entry + owner) / 1e6


def _entry(figures: dict[str, dict]) -> list[Row]:
    cost = figures["cost"]
    slopes = cost["slopes_us"]
    requests = TARGET.shards / TARGET.leaves_an_address
    cores = cpu_a_search_us(slopes, requests) * TARGET.searches_a_daemon / 1e6
    in_flight = TARGET.searches_a_daemon * TARGET.p99_ms / 1000
    memory = cost["rows"][-1]["memory_mb"] + figures["config"]["values"][-1]["state_mb"]
    links = TARGET.connections_a_leaf * TARGET.leaves_an_address / TARGET.daemons
    near = TARGET.connections_a_leaf * TARGET.leaves_an_address / TARGET.domain_daemons
    slots = TARGET.slots_a_leaf / TARGET.domain_daemons
    return [
        ("line", "at the two-year size", "target", "ratio", "mechanism"),
        _line("searches", f"{TARGET.searches_a_daemon:.0f}/s", "", "", "balancer"),
        _line("sub-searches", f"{TARGET.shards_a_daemon:.0f}/s", "", "", "`dispatch`, batched"),
        _line(
            "CPU", f"{cores:.2f} cores", "0.6", f"{cores / 0.6:.1f}", "`dispatch`, `targetclient`"
        ),
        _line("memory", f"{memory:.0f} MB", "256 MB", f"{memory / 256:.2f}", "`state`"),
        _line("searches in flight", f"{in_flight:.0f}", "1000", "", "`queries_in_flight`"),
        _line(
            "connections an address, all share", f"{links:.2f}", "1", f"{1 / links:.1f}", "`target`"
        ),
        _line("the same, own domain only", f"{near:.2f}", "1", f"{1 / near:.2f}", "owners needed"),
        _line(
            "slots of a leaf, own domain", f"{slots:.2f}", "1", f"{1 / slots:.1f}", "owners needed"
        ),
    ]


def _line(*cells: str) -> Row:
    return cells


def _control(figures: dict[str, dict]) -> list[Row]:
    rows = figures["control"]["rows"]
    last = rows[-1]
    value = figures["config"]["values"][-1]
    changes_s = TARGET.changes_a_day / 86400
    spread = changes_s * value["packed_bytes"] * 2  # received once, passed on once
    carried = last["bytes_per_s"] + spread
    reads = (
        TARGET.domains
        * fleet.READERS_PER_DOMAIN
        * (1000 / watch.WATCH_WAIT_MS + 1 / watch.LIST_INTERVAL_S)
    )
    accept = changes_s * value["one_service_ms"] / 1000
    core = last["core"] + accept
    memory = last["memory_mb"] + value["state_mb"]
    spread_s = figures["config"]["rows"][-1]["worst_s"]
    return [
        ("line", "at the two-year size", "target", "ratio", "mechanism"),
        _compare("CPU", core, TARGET.control_core, "core", "`fleet` pings, `watch`, ticks"),
        _compare("memory", memory, TARGET.control_mb, "MB", "`state`, one configuration"),
        _compare("bytes a second", carried, TARGET.control_bytes_per_s, "B/s", "`message`, zlib"),
        _compare(
            "platform reads", reads, TARGET.platform_reads_per_s, "/s", "two readers a domain"
        ),
        _compare("time in force, 40 daemons", spread_s, TARGET.force_s, "s", "`fleet.announce`"),
        _line("value", f"{value['bytes'] / 1e3:.0f} KB", "1 MB", "", "`servicefile`, `config`"),
        _compare(
            "stall at the first value", value["accept_ms"], TARGET.p99_ms, "ms", "at the start"
        ),
        _compare("stall at a domain out", value["domain_out_ms"], TARGET.p99_ms, "ms", UNCHANGED),
        _compare("stall at one service", value["one_service_ms"], TARGET.p99_ms, "ms", UNCHANGED),
    ]


def _compare(name: str, value: float, target: float, unit: str, mechanism: str) -> Row:
    return (name, f"{value:.3g} {unit}", f"{target:g}", f"{value / target:.2f}", mechanism)


def _events(figures: dict[str, dict]) -> list[Row]:
    value = figures["config"]["values"][-1]
    others = TARGET.daemons * (1 - 1 / TARGET.domains)
    replaced_s = 86400 / TARGET.replaced_a_day
    moved = WINDOW_S / replaced_s / TARGET.daemons
    restart_mb = TARGET.daemons * value["bytes"] / 1e6
    rack = 10
    return [
        ("event", "what it does at that size", "mechanism"),
        (
            f"{TARGET.replaced_a_day} VMs replaced a day",
            f"one each {replaced_s:.0f} s; {moved:.2%} of keys refused at any time (window "
            f"{WINDOW_S:g} s), two configuration changes each unless the list of VMs carries them",
            "memberships and settling in `share` and `action`",
        ),
        (
            "a rack lost (10 VMs)",
            f"{rack / TARGET.daemons:.1%} of keys refused until the list drops them and the window "
            f"ends; searches go on, pings find them silent in {freshness.SILENCE_TIMEOUT_S:g} s",
            "`freshness.is_silent`, backoff in `target`",
        ),
        (
            "a domain lost at full load",
            f"{TARGET.searches_per_s / others:.0f} searches/s a daemon; the others need "
            f"{1 / (1 - 1 / TARGET.domains) - 1:.0%} in spare, else admission refuses the rest",
            "limits in `target`, admission in `search`",
        ),
        (
            "a region cut off (3 of 7 domains)",
            f"the rest needs {7 / 4 - 1:.0%} in spare if its callers move; the region goes on with "
            "its own domains as long as peers there speak",
            "`freshness.has_recent_contact`",
        ),
        (
            "full fleet restart",
            f"{TARGET.daemons} reads, {restart_mb:.0f} MB from the platform, spread by 0.1 s ticks "
            f"and retries with jitter; actions refused for {WINDOW_S:g} s",
            "`watch`",
        ),
    ]
