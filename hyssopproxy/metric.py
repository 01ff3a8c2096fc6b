"""Latency histograms, and the Prometheus exposition of histograms and counters."""

import typing

import hdrh.histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """HDR histograms by name, in microseconds."""

    def __init__(self) -> None:
        self._histograms: dict[str, hdrh.histogram.HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = new_histogram()
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def render(
        self,
        counters: typing.Mapping[str, int],
        gauges: typing.Mapping[str, int | None] | None = None,
        labelled: typing.Mapping[str, typing.Mapping[str, float]] | None = None,
        label: str = "",
    ) -> str:
        """Return all metrics in the Prometheus text format; leave out gauges without a value.

        `labelled` has gauges with a value for each value of `label`.
        """
        lines = []
        for name in sorted(counters):
            lines.append(f"# TYPE hyssopproxy_{name}_total counter")
            lines.append(f"hyssopproxy_{name}_total {counters[name]}")
        for name, value in sorted((gauges or {}).items()):
            if value is not None:
                lines.append(f"# TYPE hyssopproxy_{name} gauge")
                lines.append(f"hyssopproxy_{name} {value}")
        for name, values in sorted((labelled or {}).items()):
            lines.append(f"# TYPE hyssopproxy_{name} gauge")
            for text, value in values.items():
                quoted = text.replace("\\", "\\\\").replace('"', '\\"')
                lines.append(f'hyssopproxy_{name}{{{label}="{quoted}"}} {value:g}')
        for name, histogram in sorted(self._histograms.items()):
            metric = f"hyssopproxy_{name}_seconds"
            lines.append(f"# TYPE {metric} summary")
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                lines.append(f'{metric}{{quantile="{quantile / 100:g}"}} {value:.6f}')
            lines.append(f"{metric}_count {histogram.total_count}")
        return "\n".join(lines) + "\n"


def new_histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return hdrh.histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
