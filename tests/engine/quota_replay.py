"""Replays a load of many organisations for the table of docs/design/quota.md.

`python -m tests.engine.quota_replay DAEMONS ORGANISATIONS SECONDS WAY...` compares ways to limit
organisations: equal, gossip, permits, built.
"""

import json
import random
import sys

import attrs

from hyssopproxy.engine import model
from hyssopproxy.engine import quota
from tests.engine import quota_fleet

HOT = "o0"  # the largest organisation
WARM_UP_S = 35.0
HOT_S = 8.0
HOT_FACTOR = 7.5
LIMIT_FACTOR = 1.6  # of the usual demand
REQUESTS_PER_DAEMON = 60 / 69  # a second
CALLERS_PER_REQUEST = 3.0  # callers of an organisation for each request a second


@attrs.frozen
class Request:
    """A request of the replayed load."""

    at: float
    organisation: str
    ip: str


def make_organisations(daemons, count):
    """Return organisations of very different sizes, and their demand by name."""
    total = REQUESTS_PER_DAEMON * daemons
    weights = [1.0 / (index + 1) for index in range(count)]
    demand = {f"o{index}": total * weight / sum(weights) for index, weight in enumerate(weights)}
    owners = [
        model.Organisation(name, rate_per_s=LIMIT_FACTOR * per_s, burst=2 * LIMIT_FACTOR * per_s)
        for name, per_s in demand.items()
    ]
    return owners, demand


def make_load(ips, demand, rng, seconds):
    """Return requests at random times; the callers of an organisation keep to their daemons."""
    requests = []
    for name, per_s in demand.items():
        callers = [rng.choice(ips) for _ in range(max(1, round(per_s * CALLERS_PER_REQUEST)))]
        at = 0.0
        while True:
            is_hot = name == HOT and 4.0 <= at < 4.0 + HOT_S
            at += rng.expovariate(per_s * (HOT_FACTOR if is_hot else 1.0))
            if at >= seconds:
                break
            requests.append(Request(at, name, rng.choice(callers)))
    return sorted(requests, key=lambda request: request.at)


class Bucket:
    """A token bucket."""

    def __init__(self, rate_per_s, depth, level=None):
        self.rate_per_s, self.depth = rate_per_s, depth
        self.level, self.at = depth if level is None else level, 0.0

    def take(self, now):
        """Take a token if there is one."""
        self.level = min(self.depth, self.level + self.rate_per_s * (now - self.at))
        self.at = now
        if self.level >= 1.0:
            self.level -= 1.0
            return True
        return False


def replay_equal(requests, owners, ips):
    """Each daemon has an equal part of each limit."""
    size = len(ips)
    buckets = {
        (owner.name, ip): Bucket(owner.rate_per_s / size, max(1.0, owner.burst / size))
        for owner in owners
        for ip in ips
    }
    return [
        request
        for request in requests
        if buckets[request.organisation, request.ip].take(request.at)
    ]


def replay_gossip(requests, owners, ips, lag_s=1.0):
    """Each daemon has a part by the demand that all have told of `lag_s` before."""
    owner_of = {owner.name: owner for owner in owners}
    buckets, seen, told = {}, {}, {}
    next_at, admitted = lag_s, []
    for request in requests:
        while request.at >= next_at:
            next_at += lag_s
            told, seen = seen, {}
            totals = {}
            for (name, _), count in told.items():
                totals[name] = totals.get(name, 0) + count
            for (name, ip), bucket in buckets.items():
                share = (told.get((name, ip), 0) + 0.5) / (totals.get(name, 0) + 0.5 * len(ips))
                bucket.rate_per_s = owner_of[name].rate_per_s * share
                bucket.depth = max(1.0, owner_of[name].burst * share)
        key = request.organisation, request.ip
        seen[key] = seen.get(key, 0) + 1
        if key not in buckets:
            owner = owner_of[request.organisation]
            buckets[key] = Bucket(owner.rate_per_s / len(ips), max(1.0, owner.burst / len(ips)))
        if buckets[key].take(request.at):
            admitted.append(request)
    return admitted


def replay_fleet(requests, owners, size, spare, seconds):
    """The design that is built; without credits in advance it is an owner with permits."""
    quota.MAX_SPARE = spare
    fleet = quota_fleet.QuotaFleet(size, owners, seed=3)
    fleet.run(WARM_UP_S)
    start = fleet.now
    fleet.datagrams = fleet.bytes = 0
    for request in requests:
        fleet.run(start + request.at - fleet.now)
        fleet.request(request.ip, request.organisation)
    fleet.run(1.0)
    admitted = [Request(at - start, name, "") for name, runs in fleet.runs.items() for at in runs]
    usual = [name for name in fleet.runs if name != HOT]
    waited = sum(fleet.waited[name] for name in usual) / sum(
        len(fleet.runs[name]) for name in usual
    )
    per_daemon = size * seconds
    return admitted, {
        "waited": round(waited, 3),
        "datagrams_per_s": round(fleet.datagrams / per_daemon, 1),
        "bytes_per_s": round((fleet.bytes + 28 * fleet.datagrams) / per_daemon),
    }


def judge(requests, admitted, owners):
    """Return what was refused within the quota and by how much a bound was exceeded."""
    short = over = 0
    for owner in owners:
        bucket = Bucket(owner.rate_per_s, max(1.0, owner.burst))
        times = [request.at for request in requests if request.organisation == owner.name]
        within = sum(bucket.take(at) for at in times)
        ran = sorted(request.at for request in admitted if request.organisation == owner.name)
        short += max(0, within - len(ran))
        full = owner.rate_per_s * 5.0 + owner.burst
        first = 0
        worst = 0
        for last, at in enumerate(ran):
            while ran[first] <= at - 5.0:
                first += 1
            worst = max(worst, last - first + 1)
        over = max(over, worst - (full * 1.25 + 20))
    return {
        "offered": len(requests),
        "ran": len(admitted),
        "short": short,
        "over": max(0, round(over)),
    }


def main():
    """Print one line for each way."""
    size, organisations, seconds = (int(argument) for argument in sys.argv[1:4])
    ips = [f"10.1.{index % 3}.{index + 1}" for index in range(size)]
    owners, demand = make_organisations(size, organisations)
    requests = make_load(ips, demand, random.Random(5), seconds)
    spare = quota.MAX_SPARE
    for way in sys.argv[4:]:
        costs = {}
        if way == "equal":
            admitted = replay_equal(requests, owners, ips)
        elif way == "gossip":
            admitted = replay_gossip(requests, owners, ips)
        else:
            way_spare = spare if way == "built" else 0
            admitted, costs = replay_fleet(requests, owners, size, way_spare, seconds)
        print(size, way, json.dumps({**judge(requests, admitted, owners), **costs}), flush=True)


if __name__ == "__main__":
    main()
