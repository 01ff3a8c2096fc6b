from hyssopproxy import pump


def test_events_posted_by_effects_are_handled_in_order_and_not_nested():
    handled = []
    executed = []

    def reduce(event):
        handled.append(event)
        return [event] if event < 3 else []

    def execute(effect):
        executed.append(effect)
        event_pump.post(effect + 1)
        event_pump.post(10 + effect)
        assert handled[-1] == effect, "an event was handled while this effect was being executed"

    event_pump = pump.Pump(reduce, execute)
    event_pump.post(1)
    assert handled == [1, 2, 11, 3, 12]


def test_failing_effect_does_not_stop_the_pump():
    executed = []

    def execute(effect):
        executed.append(effect)
        if effect == 1:
            raise ValueError("broken")

    event_pump = pump.Pump(lambda event: [event], execute)
    try:
        event_pump.post(1)
    except ValueError:
        event_pump.post(2)
    assert executed == [1, 2]
