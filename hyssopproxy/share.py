"""Divides the capacity of a target between the VMs of the published list.

Rendezvous hashing: Thaler, Ravishankar, 1998.
"""

import zlib

from hyssopproxy import state as states

GROWTH_DELAY_S = 5.0  # a share grows only after a new list of VMs has applied for this long


def score(key: str, vm: str) -> int:
    """Return the weight of a VM for a key; it is the same on all daemons."""
    return zlib.crc32(vm.encode(), zlib.crc32(key.encode()))


def owner(key: str, vms: tuple[str, ...]) -> str:
    """Return the VM that owns a key.

    >>> owner("k", ("a", "b", "c")) in ("a", "b", "c")
    True
    """
    return max(vms, key=lambda vm: (score(key, vm), vm))


def vm_share(total: int, key: str, vm: str, vms: tuple[str, ...]) -> int:
    """Return the share of `vm` in `total` requests; the shares of all VMs add up to `total`.

    >>> vms = ("a", "b", "c")
    >>> sum(vm_share(4, "target", vm, vms) for vm in vms)
    4
    """
    if vm not in vms:
        return 0
    quotient, remainder = divmod(total, len(vms))
    if remainder == 0:
        return quotient
    own_rank = (score(key, vm), vm)
    outranking = sum((score(key, other), other) > own_rank for other in vms)
    return quotient + (outranking < remainder)


def strict_share(state: states.State, total: int, key: str, now: float) -> int:
    """Return this daemon's smallest share over all VM lists that another daemon may still use."""
    vm = state.identity.vm
    return min(
        vm_share(total, key, vm, membership.vms) for membership in recent_memberships(state, now)
    )


def update_sharing_vms(state: states.State, now: float) -> None:
    """Set `sharing_vms` to the length of the longest list that another daemon may still use."""
    lengths = [len(membership.vms) for membership in recent_memberships(state, now)]
    state.sharing_vms = max(1, *lengths)


def recent_memberships(state: states.State, now: float) -> list[states.Membership]:
    """Return the newest list and those that were replaced less than `GROWTH_DELAY_S` ago."""
    memberships = state.memberships
    recent = [memberships[-1]]
    for older, newer in zip(memberships[-2::-1], memberships[:0:-1], strict=True):
        if now - newer.since >= GROWTH_DELAY_S:
            break
        recent.append(older)
    return recent
