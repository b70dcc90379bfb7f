"""Prometheus metrics of a daemon, and the application that serves them."""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

METRICS_PATH = "/metrics"
LATENCY_BUCKETS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.5,
    0.6,
    0.8,
    1.0,
    1.5,
    2.0,
    5.0,
)  # seconds; the latency objectives of the routes are between 0.3 and 0.8


class PrometheusMetrics:
    """Counters, histograms and gauges of one daemon."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "monsoonlug_requests",
            "Requests of callers by route and outcome.",
            ["route", "outcome"],
            registry=self._registry,
        )
        self._latency = Histogram(
            "monsoonlug_request_seconds",
            "Time from the head of a request to the end of its answer.",
            ["route"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._calls = Counter(
            "monsoonlug_control_calls",
            "Calls of backend servers and operators by kind and outcome.",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self._client_refusals = Counter(
            "monsoonlug_client_refusals",
            "Closed connections and refused requests of clients by port and reason.",
            ["port", "reason"],
            registry=self._registry,
        )

    def count_request(self, route: str, outcome: str, seconds: float) -> None:
        """Counts a caller's request, and records its latency if it was answered."""
        self._requests.labels(route, outcome).inc()
        if outcome == "answered":
            self._latency.labels(route).observe(seconds)

    def count_call(self, kind: str, outcome: str) -> None:
        """Counts a control call of a backend server or operator."""
        self._calls.labels(kind, outcome).inc()

    def count_client_refusal(self, port: str, reason: str) -> None:
        """Counts a connection that was closed, or a request refused, for a limit."""
        self._client_refusals.labels(port, reason).inc()

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Adds a gauge whose value is read whenever the metrics are scraped."""
        gauge = Gauge(f"monsoonlug_{name}", help_text, registry=self._registry)
        gauge.set_function(read)

    def build_app(self) -> web.Application:
        """Returns the application that serves the metrics."""
        app = web.Application()
        app.add_routes([web.get(METRICS_PATH, self._serve_metrics)])
        return app

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        text = generate_latest(self._registry)
        return web.Response(body=text, content_type="text/plain")
