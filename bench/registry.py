"""Registers the measurements under their names."""

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
    move.ColdStart,
    move.DomainChange,
    truth.SnapshotChange,
    truth.AtMostOnce,
    move.RollingRestart,
    partition.Partition,
    cost.Cost,
    control.Control,
    config.ConfigPropagation,
    hop.PeerHop,
)
MEASUREMENTS = {measurement.name: measurement for measurement in _ALL}
# Measurements that docs/CAPACITY.md is computed from.
CAPACITY_INPUTS = ("cost", "control", "config", "hop")
