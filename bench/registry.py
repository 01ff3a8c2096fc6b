"""Short names of the measurements."""

from bench import config
from bench import control
from bench import cost
from bench import hop
from bench import move
from bench import overload
from bench import partition
from bench import tail
from bench import truth

_ALL = (
    tail.Stragglers,
    tail.Deadline,
    overload.Overload,
    move.Cold,
    move.Domain,
    truth.Snapshots,
    truth.Once,
    move.Restart,
    partition.Partition,
    cost.Cost,
    control.Control,
    config.ConfigSpread,
    hop.Hop,
)
MEASUREMENTS = {one.name: one for one in _ALL}
SLOPES = ("cost", "control", "config", "hop")  # what docs/CAPACITY.md is computed from
