"""The metrics page in the Prometheus text format."""

from collections.abc import Iterable, Iterator

from .counters import Counters
from .histograms import PERCENTILES, CallClass, Histograms

__all__ = ["render_page"]

_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


def render_page(
    counters: Counters,
    histograms: Histograms,
    gauges: Iterable[tuple[str, float]],
    tenant_counts: Iterable[tuple[str, str, int]] = (),
) -> str:
    """Return the metrics page with all counters, gauges and call times.

    `tenant_counts` holds tenant, outcome and count of requests.
    """
    lines = [
        *_render_counters(counters),
        *_render_tenant_counts(tenant_counts),
        *_render_gauges(gauges),
        *_render_histograms(histograms),
    ]
    return "\n".join(lines) + "\n"


def _render_counters(counters: Counters) -> Iterator[str]:
    for name, count in counters.list_all():
        yield f"# TYPE cactusshed_{name}_total counter"
        yield f"cactusshed_{name}_total {count}"


def _render_tenant_counts(counts: Iterable[tuple[str, str, int]]) -> Iterator[str]:
    for index, (tenant, outcome, count) in enumerate(counts):
        if not index:
            yield "# TYPE cactusshed_tenant_requests_total counter"
        labels = f'tenant="{tenant.translate(_ESCAPES)}",outcome="{outcome}"'
        yield f"cactusshed_tenant_requests_total{{{labels}}} {count}"


def _render_gauges(gauges: Iterable[tuple[str, float]]) -> Iterator[str]:
    for name, value in gauges:
        yield f"# TYPE cactusshed_{name} gauge"
        yield f"cactusshed_{name} {value:g}"


def _render_histograms(histograms: Histograms) -> Iterator[str]:
    yield "# TYPE cactusshed_call_seconds summary"
    for call_class, histogram in histograms.list_all():
        labels = _render_labels(call_class)
        for percentile in PERCENTILES:
            seconds = histogram.get_value_at_percentile(percentile) / 1e6
            label = f'{labels},quantile="{percentile / 100:g}"'
            yield f"cactusshed_call_seconds{{{label}}} {seconds:g}"
        yield f"cactusshed_call_seconds_count{{{labels}}} {histogram.total_count}"


def _render_labels(call_class: CallClass) -> str:
    pairs = (
        ("service", call_class.service),
        ("route", call_class.route),
        ("tenant", call_class.tenant),
    )
    return ",".join(f'{name}="{text.translate(_ESCAPES)}"' for name, text in pairs)
