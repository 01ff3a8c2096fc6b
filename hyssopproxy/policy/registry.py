"""Policies by their short names in service files."""

from hyssopproxy.policy import hedge
from hyssopproxy.policy import limit
from hyssopproxy.policy import replica
from hyssopproxy.policy import wait

HEDGES = {policy.name: policy for policy in (hedge.NoHedge, hedge.Quantile)}
LIMITS = {policy.name: policy for policy in (limit.Fixed, limit.Adaptive)}
REPLICAS = {policy.name: policy for policy in (replica.RoundRobin, replica.Observed)}
WAITS = {policy.name: policy for policy in (wait.WaitAll, wait.CoverageFirst, wait.LatencyFirst)}
