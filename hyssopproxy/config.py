"""Decodes and checks published configurations; the result is the same on every daemon."""

import attrs
import msgspec

from hyssopproxy import address
from hyssopproxy import model
from hyssopproxy import option
from hyssopproxy import servicefile
from hyssopproxy import wire


@attrs.frozen
class Rejected:
    """Result of decoding a configuration that is rejected, with all reasons."""

    reasons: tuple[str, ...]


def decode(blob: bytes, previous: model.Config | None = None) -> model.Config | Rejected:
    """Return a published configuration, or why it is rejected as a whole.

    Services whose tables equal those of `previous` are reused; this does not change the result.

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
        return Rejected(("not a JSON object: publish the output of hyssopctl collect",))
    errors: list[str] = []
    top = option.Section("value", value, errors)
    version = top.integer("version", None, 1, 1 << 53)
    services = _read_services(top, previous)
    domains_out = _read_domains_out(top)
    vms = _read_vms(top)
    if errors:
        return Rejected(tuple(errors))
    return model.Config(version, services, vms, domains_out, value.get("services", {}))


def _read_services(top: option.Section, previous: model.Config | None) -> dict[str, model.Service]:
    services = {}
    old_tables = {} if previous is None else previous.tables
    for name, section in top.sections("services").items():
        if old_tables.get(name) == section.table:
            services[name] = previous.services[name]
            continue
        service = servicefile.parse(section.table, f"service {name}", top.errors)
        if service.name != name:
            section.add_error("name", service.name, f"give the same name as its key, {name!r}")
        services[name] = service
    _check_addresses(top, services)
    return services


def _check_addresses(top: option.Section, services: dict[str, model.Service]) -> None:
    owners: dict[str, str] = {}
    for name, service in services.items():
        for target in service.targets.values():
            owner = owners.setdefault(target.address, name)
            if owner != name:
                remedy = f"service {owner} has this address; give each service addresses of its own"
                top.add_error(f"services.{name}.targets.{target.name}", target.address, remedy)


def _read_domains_out(top: option.Section) -> frozenset[str]:
    domains_out = set()
    for name, section in top.sections("failure_domains").items():
        if section.choice("state", "in", ("in", "out")) == "out":
            domains_out.add(name)
    return frozenset(domains_out)


def _read_vms(top: option.Section) -> dict[str, model.VM]:
    vms = {}
    for name, section in top.sections("vms").items():
        addresses = {}
        for key in ("address", "peer_address"):
            addresses[key] = section.string(key)
            parsed = address.parse(addresses[key])
            if isinstance(parsed, address.BadAddress):
                section.add_error(key, addresses[key], parsed.reason)
        vms[name] = model.VM(
            id=name,
            failure_domain=section.string("failure_domain"),
            leaving=section.choice("state", "live", ("live", "leaving")) == "leaving",
            **addresses,
        )
    return vms
