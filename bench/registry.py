"""Short names of the measurements."""

from bench import config
from bench import control
from bench import cost
from bench import hop

_ALL = (cost.Cost, control.Control, config.ConfigSpread, hop.Hop)
MEASUREMENTS = {one.name: one for one in _ALL}
SLOPES = ("cost", "control", "config", "hop")  # what docs/CAPACITY.md is computed from
