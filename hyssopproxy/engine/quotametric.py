"""Metrics of quotas, with a bounded number of organisations."""

from hyssopproxy.engine import state as states
from hyssopproxy.engine import tenure

SHOWN_ORGANISATIONS = 20  # the rest are added up
REST = "other"  # the label of the rest; an organisation of that name is added to it


def summarise(state: states.State, now: float) -> dict[str, dict[str, float]]:
    """Return metrics by organisation, for those with the most requests and the rest as one."""
    purses = sorted(
        state.quota.purses.values(),
        key=lambda purse: purse.used + purse.alone + purse.refused,
        reverse=True,
    )
    metrics: dict[str, dict[str, float]] = {}
    for index, purse in enumerate(purses):
        label = purse.name if index < SHOWN_ORGANISATIONS else REST
        for name, value in (
            ("quota_admitted", purse.used),
            ("quota_admitted_without_owner", purse.alone),
            ("quota_refused", purse.refused),
            ("quota_limit_per_s", purse.limit.rate_per_s),
        ):
            values = metrics.setdefault(name, {})
            values[label] = values.get(label, 0) + value
    owned = sorted(
        (
            (state.quota.organisations[number].name, account)
            for number, account in state.quota.accounts.items()
            if number in state.quota.organisations and tenure.is_owner(state, number, now)
        ),
        key=lambda pair: pair[1].limit.rate_per_s,
        reverse=True,
    )
    for name, account in owned[:SHOWN_ORGANISATIONS]:
        metrics.setdefault("quota_tokens", {})[name] = round(account.available(now), 2)
        metrics.setdefault("quota_credits_out", {})[name] = account.outstanding
    if owned:
        metrics["quota_organisations_owned"] = {"all": len(owned)}
    return metrics
