"""Kinds of refusal."""

from hyssopproxy import problem


def test_kinds_with_the_same_status_and_remedy_are_distinct():
    assert problem.Kind.OWNER_UNSETTLED is not problem.Kind.OWNER_UNREACHABLE
    assert len(problem.Kind) == len(problem.Kind.__members__)
