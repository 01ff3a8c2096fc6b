"""Runs a short soak test with fixed seeds; `make soak` runs more seeds."""

import asyncio

import pytest

from soak import __main__ as soak

# Seeds that have found a fault are kept, with the cause of the fault.
SEEDS = (
    1,
    2,
    100,  # SIGHUP during the start ended the process
    7003,  # followers missed a removal right before a loss of the store's history
)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_guarantee_is_violated(seed):
    ledger, faults = asyncio.run(soak.run_seed(seed, seconds=5.0))
    assert ledger.violations == [], faults
    assert ledger.outcomes["search", 200] > 100
