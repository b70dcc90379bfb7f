"""Prometheus metrics of a daemon, served on a separate address."""

from collections.abc import Callable, Iterator, Mapping

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from monsoonlug.settings import split_address

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


class _CounterCollector(Collector):
    """Reads the counters of one name when the metrics are scraped."""

    def __init__(
        self,
        *,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ):
        self._name = name
        self._help_text = help_text
        self._label = label
        self._read = read

    def collect(self) -> Iterator[CounterMetricFamily]:
        family = CounterMetricFamily(self._name, self._help_text, labels=[self._label])
        for value, count in self._read().items():
            family.add_metric([value], count)
        yield family


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
        self._runner: web.AppRunner | None = None

    def count_request(self, route: str, outcome: str, seconds: float) -> None:
        """Counts a caller's request, and records its latency if it was answered."""
        self._requests.labels(route, outcome).inc()
        if outcome == "answered":
            self._latency.labels(route).observe(seconds)

    def count_call(self, kind: str, outcome: str) -> None:
        """Counts a control call of a backend server or operator."""
        self._calls.labels(kind, outcome).inc()

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Adds a gauge whose value is read whenever the metrics are scraped."""
        gauge = Gauge(f"monsoonlug_{name}", help_text, registry=self._registry)
        gauge.set_function(read)

    def add_counters(
        self,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Adds counters that are read by the value of their label when scraped."""
        self._registry.register(
            _CounterCollector(
                name=f"monsoonlug_{name}", help_text=help_text, label=label, read=read
            )
        )

    def format(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

    async def start(self, address: str) -> None:
        """Starts serving the metrics."""
        app = web.Application()
        app.add_routes([web.get(METRICS_PATH, self._serve_metrics)])
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, port = split_address(address)
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stops serving the metrics."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self.format(), content_type="text/plain")
