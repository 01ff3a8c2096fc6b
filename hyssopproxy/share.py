"""Each daemon's part of a target's capacity, by the published list of VMs.

Rendezvous hashing: Thaler, Ravishankar, 1998.
"""

import zlib

from hyssopproxy import state as states

GROWTH_DELAY_S = 5.0  # a share grows only after a list has been in force this long


def score(key: str, vm: str) -> int:
    """Return the weight of a VM for a key, alike on all daemons."""
    return zlib.crc32(vm.encode(), zlib.crc32(key.encode()))


def owner(key: str, vms: tuple[str, ...]) -> str:
    """Return the VM that owns a key.

    >>> owner("k", ("a", "b", "c")) in ("a", "b", "c")
    True
    """
    return max(vms, key=lambda vm: (score(key, vm), vm))


def vm_share(total: int, key: str, vm: str, vms: tuple[str, ...]) -> int:
    """Return the part of `vm` in `total` requests; the parts of all VMs add up to `total`.

    >>> vms = ("a", "b", "c")
    >>> sum(vm_share(4, "target", vm, vms) for vm in vms)
    4
    """
    if vm not in vms:
        return 0
    part, rest = divmod(total, len(vms))
    if rest == 0:
        return part
    mine = (score(key, vm), vm)
    before = sum((score(key, other), other) > mine for other in vms)
    return part + (before < rest)


def strict_share(state: states.State, total: int, key: str, now: float) -> int:
    """Return this daemon's part under every list that another daemon may still follow."""
    vm = state.identity.vm
    return min(vm_share(total, key, vm, roster.vms) for roster in recent_memberships(state, now))


def count_sharing_vms(state: states.State, now: float) -> None:
    """Count the VMs of the longest list that another daemon may still follow."""
    lengths = [len(roster.vms) for roster in recent_memberships(state, now)]
    state.sharing_vms = max(1, *lengths)


def recent_memberships(state: states.State, now: float) -> list[states.Membership]:
    """Return the newest list and those it replaced less than the settling time ago."""
    memberships = state.memberships
    recent = [memberships[-1]]
    for older, newer in zip(memberships[-2::-1], memberships[:0:-1], strict=True):
        if now - newer.since >= GROWTH_DELAY_S:
            break
        recent.append(older)
    return recent
