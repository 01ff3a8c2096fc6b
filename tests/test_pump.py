from hyssopproxy import pump


def fail(error, cause):
    raise error


def test_events_posted_by_effects_are_handled_in_order_and_not_nested():
    handled = []
    executed = []

    def reduce(event, out):
        handled.append(event)
        if event < 3:
            out.append(event)

    def execute(effect):
        executed.append(effect)
        event_pump.post(effect + 1)
        event_pump.post(10 + effect)
        assert handled[-1] == effect, "an event was handled while this effect was being executed"

    event_pump = pump.Pump(reduce, execute, fail)
    event_pump.post(1)
    assert handled == [1, 2, 11, 3, 12]


def test_failing_effect_does_not_stop_the_pump():
    executed = []
    errors = []

    def reduce(event, out):
        out.extend((event, event + 100))

    def execute(effect):
        executed.append(effect)
        if effect == 1:
            raise ValueError("broken")

    event_pump = pump.Pump(reduce, execute, lambda error, cause: errors.append((str(error), cause)))
    event_pump.post(1)
    event_pump.post(2)
    assert executed == [1, 101, 2, 102]
    assert errors == [("broken", 1)]


def test_failing_event_keeps_the_effects_before_the_error_and_later_events():
    executed = []
    errors = []

    def reduce(event, out):
        out.append(event)
        if event == 1:
            raise KeyError("unknown")

    event_pump = pump.Pump(reduce, executed.append, lambda error, cause: errors.append(cause))
    event_pump.post(1)
    event_pump.post(2)
    assert (executed, errors) == ([1, 2], [1])
