"""Prometheus metrics of a daemon and the handler that serves them."""

import aioprometheus
from aioprometheus import collectors
from aioprometheus import renderer
from tornado import web

# Upper bounds of the latency histograms, in seconds.
LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class _LatencyHistogram(aioprometheus.Histogram):

    def __init__(self, name: str, doc: str, registry=None):
        super().__init__(
            name, doc, registry=registry, buckets=list(LATENCY_BUCKETS_S)
        )


def render_text(metrics: "Metrics") -> bytes:
    """Returns all metrics in the Prometheus text format."""
    content, _ = renderer.render(metrics.registry_, ["text/plain"])
    return content


class Metrics:
    """Registry of metrics whose collectors are created on first use.

    Example:
        >>> metrics = Metrics()
        >>> metrics.count("requests_total", {"outcome": "done"})
    """

    def __init__(self):
        self.registry_ = aioprometheus.Registry()
        self.collectors_: dict[str, collectors.Collector] = {}

    def count(
        self, name: str, labels: dict[str, str] | None = None, amount: float = 1
    ) -> None:
        """Adds `amount` to a counter."""
        self._collector(aioprometheus.Counter, name).add(labels or {}, amount)

    def gauge(
        self, name: str, value: float, labels: dict[str, str] | None = None
    ) -> None:
        """Sets a gauge to `value`."""
        self._collector(aioprometheus.Gauge, name).set(labels or {}, value)

    def observe(
        self, name: str, value: float, labels: dict[str, str] | None = None
    ) -> None:
        """Adds a latency in seconds to a histogram."""
        self._collector(_LatencyHistogram, name).observe(labels or {}, value)

    def _collector(
        self, collector_type: type, name: str
    ) -> collectors.Collector:
        collector = self.collectors_.get(name)
        if collector is None:
            doc = name.replace("_", " ")
            collector = collector_type(
                f"baobabdoor_{name}", doc, registry=self.registry_
            )
            self.collectors_[name] = collector
        return collector


class MetricsHandler(web.RequestHandler):
    """Serves `GET /metrics`."""

    def initialize(self, metrics: Metrics) -> None:
        """Stores the metrics to serve."""
        self.metrics = metrics

    def get(self) -> None:
        """Sends the metrics in a format that the client accepts."""
        accept = self.request.headers.get_list("Accept")
        content, headers = renderer.render(self.metrics.registry_, accept)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)
