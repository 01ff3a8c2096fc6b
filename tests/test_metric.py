from hyssopproxy import metric


def test_gauges_without_a_value_are_left_out():
    text = metric.Metrics().render(
        {"hedges": 2}, {"open_descriptors": None, "peak_memory_bytes": 7}
    )
    assert "hyssopproxy_hedges_total 2" in text
    assert "hyssopproxy_peak_memory_bytes 7" in text
    assert "open_descriptors" not in text
