"""Published configuration values: pure decoding and checking, alike on every daemon."""

import attrs
import msgspec

from hyssopproxy import address
from hyssopproxy import model
from hyssopproxy import option
from hyssopproxy import servicefile
from hyssopproxy import wire


@attrs.frozen
class Rejected:
    """Sentinel for a value that is not accepted, with every reason."""

    reasons: tuple[str, ...]


def decode(blob: bytes, known: model.Config | None = None) -> model.Config | Rejected:
    """Return the configuration in a published value, or why it is rejected whole.

    Services whose tables are those of `known` are taken over; the result is the same without it.

    >>> decode(b"{").reasons[0][:9]
    'not JSON:'
    """
    if len(blob) > model.MAX_CONFIG_BYTES:
        return Rejected((f"{len(blob)} bytes: publish at most {model.MAX_CONFIG_BYTES}",))
    try:
        value = msgspec.json.decode(blob)
    except wire.DECODE_ERRORS as error:
        return Rejected((f"not JSON: {error}: publish the output of hyssopctl collect",))
    if not isinstance(value, dict):
        return Rejected(("no JSON object: publish the output of hyssopctl collect",))
    errors: list[str] = []
    top = option.Section("value", value, errors)
    version = top.whole("version", None, 1, 1 << 53)
    services = _read_services(top, known)
    out = _read_domains(top)
    vms = _read_vms(top)
    if errors:
        return Rejected(tuple(errors))
    return model.Config(version, services, vms, out, value.get("services", {}))


def _read_services(top: option.Section, known: model.Config | None) -> dict[str, model.Service]:
    services = {}
    old_tables = {} if known is None else known.tables
    for name, section in top.sections("services").items():
        if old_tables.get(name) == section.table:
            services[name] = known.services[name]
            continue
        service = servicefile.parse(section.table, f"service {name}", top.errors)
        if service.name != name:
            section.fault("name", service.name, f"give the key's name, {name!r}")
        services[name] = service
    _check_addresses(top, services)
    return services


def _check_addresses(top: option.Section, services: dict[str, model.Service]) -> None:
    owners: dict[str, str] = {}
    for name, service in services.items():
        for target in service.targets.values():
            owner = owners.setdefault(target.address, name)
            if owner != name:
                remedy = f"service {owner} has it; give each service addresses of its own"
                top.fault(f"services.{name}.targets.{target.name}", target.address, remedy)


def _read_domains(top: option.Section) -> frozenset[str]:
    out = set()
    for name, section in top.sections("failure_domains").items():
        if section.choice("state", "in", ("in", "out")) == "out":
            out.add(name)
    return frozenset(out)


def _read_vms(top: option.Section) -> dict[str, model.VM]:
    vms = {}
    for name, section in top.sections("vms").items():
        places = {}
        for key in ("address", "peer_address"):
            places[key] = section.text(key)
            parsed = address.parse(places[key])
            if isinstance(parsed, address.BadAddress):
                section.fault(key, places[key], parsed.reason)
        vms[name] = model.VM(
            id=name,
            failure_domain=section.text("failure_domain"),
            leaving=section.choice("state", "live", ("live", "leaving")) == "leaving",
            **places,
        )
    return vms
