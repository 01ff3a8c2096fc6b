from hyssopproxy import pump


def test_events_posted_by_effects_are_taken_in_order_and_not_nested():
    taken = []
    depth = []

    def reduce(event):
        taken.append(event)
        return [event] if event < 3 else []

    def perform(wanted):
        depth.append(wanted)
        pumped.post(wanted + 1)
        pumped.post(10 + wanted)
        assert taken[-1] == wanted, "an event was taken before this effect was done"

    pumped = pump.Pump(reduce, perform)
    pumped.post(1)
    assert taken == [1, 2, 11, 3, 12]


def test_a_failing_effect_does_not_stop_the_pump():
    seen = []

    def perform(wanted):
        seen.append(wanted)
        if wanted == 1:
            raise ValueError("broken")

    pumped = pump.Pump(lambda event: [event], perform)
    try:
        pumped.post(1)
    except ValueError:
        pumped.post(2)
    assert seen == [1, 2]
