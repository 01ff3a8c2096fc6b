"""Costly input of a crowd, and the turns of the event loop that it takes."""

import asyncio

from hyssopproxy.transport import lane as lanes


class Member(lanes.Member):
    """Has a number of parts of input, each of which takes a time to parse."""

    def __init__(self, lane, clock, parts):
        self._lane = lane
        self._clock = clock
        self.parts = parts

    def proceed(self):
        self.parts -= 1
        self._clock.now += 0.4 * lanes.TURN_S
        if self.parts:
            self._lane.add(self)


class Clock:
    """A clock that only members advance."""

    now = 0.0

    def read(self):
        return self.now


def test_members_take_a_bounded_time_of_each_turn(monkeypatch):
    """Guards against a crowd whose input all together holds up ordinary callers for seconds."""
    clock = Clock()
    monkeypatch.setattr(lanes, "clock", clock)

    async def run():
        lane = lanes.Lane()
        members = [Member(lane, clock, parts=4) for _ in range(50)]
        for member in members:
            lane.add(member)
        longest = 0.0
        while any(member.parts for member in members):
            before = clock.now
            await asyncio.sleep(0)
            longest = max(longest, clock.now - before)
        assert 0.0 < longest < 1.5 * lanes.TURN_S

    asyncio.run(run())
