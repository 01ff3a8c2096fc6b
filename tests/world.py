"""A daemon's state and reducer under a simulated clock, for tests without processes or network."""

import random

import msgspec

from bench import fleet as fleets
from hyssopproxy import effect
from hyssopproxy import event
from hyssopproxy import message
from hyssopproxy import reducer
from hyssopproxy import state as states
from hyssopproxy import wire


class World:
    """One daemon under a simulated clock."""

    def __init__(self, layout=None, vm=0, **fields):
        self.layout = layout or fleets.make_layout(targets=3, vms=2, shards=6, replicas=2)
        self.now = 1000.0
        vm_spec = self.layout.vms[vm]
        identity = states.Identity(vm_spec.name, vm_spec.domain, vm_spec.peer, 1)
        self.state = states.State(identity, random.Random(3), self.now, **fields)
        self.effects = []
        self.number = 10**6

    def publish(self, version=1, out=(), **changes):
        value = fleets.make_configuration(self.layout, version, out)
        for name, table in changes.items():
            value["services"][fleets.SERVICE][name] = table
        blob = msgspec.json.encode(value)
        return self.post(event.ConfigArrived(blob, self.now))

    def post(self, posted_event, after=0.0):
        """Advance the clock as if the loop kept ticking, post an event and return its effects."""
        self.now += after
        self.state.last_event_at = self.now
        return self.post_late(posted_event)

    def post_late(self, posted_event, after=0.0):
        """Advance the clock without ticks, as in a pause, post an event and return its effects."""
        self.now += after
        self.effects = reducer.reduce(self.state, posted_event, self.now)
        return self.effects

    def refresh(self):
        return self.post(event.ConfigUnchanged(self.now))

    def search(self, timeout_ms="1000", query="q", limit=None, service=fleets.SERVICE):
        self.number += 1
        arrived = event.SearchArrived(self.number, service, "id", timeout_ms, query, limit)
        return self.post(arrived)

    def act(self, key="k", body=None, origin="", timeout_ms="1000"):
        self.number += 1
        body = body or {"action": "send"}
        arrived = event.ActionArrived(
            self.number, fleets.SERVICE, key, timeout_ms, body, origin=origin
        )
        return self.post(arrived)

    def pong(self, peer, version=1, confirmed_age_ms=0, pinged_at=None, cold_addresses=()):
        vm = self.layout.vms[peer]
        sender = message.PeerInfo(
            vm.name, vm.peer, vm.domain, 1, version, confirmed_age_ms, False, cold_addresses
        )
        pinged_at = self.now if pinged_at is None else pinged_at
        return self.post(event.PeerMessageReceived(message.Pong(sender, pinged_at)))

    def answer(self, sent, after=0.004, state=event.TargetState.WARM, **changes):
        """Answer all sub-searches of a request as its target."""
        lines = tuple(make_line(sub, **changes) for sub in sent.searches)
        got = self.post(event.LinesArrived(sent.request_no, lines, state), after)
        return got + self.post(event.RequestEnded(sent.request_no, None))


def make_line(sub, **changes):
    hits = [wire.Hit(f"{sub.snapshot}:{sub.shard}", 1.0)]
    line = wire.Line(sub.request_id, sub.shard, sub.snapshot, True, hits)
    return msgspec.structs.replace(line, **changes)


def find(effects, effect_type):
    return [item for item in effects if isinstance(item, effect_type)]


def sends(effects):
    return find(effects, effect.SendSearch)


def answers(effects):
    return [item.answer for item in find(effects, effect.AnswerSearch)]


def refusals(effects):
    return [item.problem for item in find(effects, effect.Refuse)]
