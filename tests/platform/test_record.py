import hypothesis
import hypothesis.strategies

from hyssopproxy.platform import record

BODIES = hypothesis.strategies.lists(hypothesis.strategies.binary(max_size=80), max_size=5)


@hypothesis.given(BODIES, hypothesis.strategies.integers(0, 8))
def test_merge_returns_greatest_records_of_all_parts(bodies, top_k):
    records = []
    for body in bodies:
        records += [body[start : start + 16] for start in range(0, len(body) - 15, 16)]
    assert record.merge(bodies, top_k) == b"".join(sorted(records, reverse=True)[:top_k])
