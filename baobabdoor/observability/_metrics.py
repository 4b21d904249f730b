"""Prometheus metrics of a daemon and the handler that shows them."""

import aioprometheus
from aioprometheus import collectors
from aioprometheus import renderer
from tornado import web


class Metrics:
    """Creates collectors by name on first use and keeps them in one registry.

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
        """Sets a gauge."""
        self._collector(aioprometheus.Gauge, name).set(labels or {}, value)

    def _collector(self, kind: type, name: str) -> collectors.Collector:
        collector = self.collectors_.get(name)
        if collector is None:
            doc = name.replace("_", " ")
            collector = kind(f"baobabdoor_{name}", doc, registry=self.registry_)
            self.collectors_[name] = collector
        return collector


class MetricsHandler(web.RequestHandler):
    """Serves `GET /metrics`."""

    def initialize(self, metrics: Metrics) -> None:
        """Stores the daemon's metrics."""
        self.metrics = metrics

    def get(self) -> None:
        """Renders the registry in the format that the client accepts."""
        accept = self.request.headers.get_list("Accept")
        content, headers = renderer.render(self.metrics.registry_, accept)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(content)
