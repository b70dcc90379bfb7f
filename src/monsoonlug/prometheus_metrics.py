"""Prometheus metrics of a daemon, and the application that serves them."""

from collections.abc import Callable, Iterator, Mapping

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

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


class _LabelledSeries(Collector):
    """Series with one label, all of which are read whenever they are scraped."""

    def __init__(
        self,
        *,
        family_type: type[CounterMetricFamily | GaugeMetricFamily],
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ):
        self._family_type = family_type
        self._name = name
        self._help_text = help_text
        self._label = label
        self._read = read

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yields the series for one scrape."""
        family = self._family_type(self._name, self._help_text, labels=[self._label])
        for value, number in self._read().items():
            family.add_metric([value], number)
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
        self._rollout_requests = Counter(
            "monsoonlug_rollout_requests",
            "Requests to servers of pools with a running rollout by version and event.",
            ["pool", "version", "event"],
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

    def count_rollout_request(self, pool: str, version: str, event: str) -> None:
        """Counts an event of a request to a server of a pool in a rollout."""
        self._rollout_requests.labels(pool, version, event).inc()

    def count_client_refusal(self, port: str, reason: str) -> None:
        """Counts a connection that was closed, or a request refused, for a limit."""
        self._client_refusals.labels(port, reason).inc()

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Adds a gauge whose value is read whenever the metrics are scraped."""
        gauge = Gauge(f"monsoonlug_{name}", help_text, registry=self._registry)
        gauge.set_function(read)

    def add_gauges(
        self,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Adds gauges by the values of one label, read whenever they are scraped."""
        self._add_series(GaugeMetricFamily, name, help_text, label, read)

    def add_counters(
        self,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Adds counters by the values of one label, read whenever they are scraped."""
        self._add_series(CounterMetricFamily, name, help_text, label, read)

    def _add_series(
        self,
        family_type: type[CounterMetricFamily | GaugeMetricFamily],
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        self._registry.register(
            _LabelledSeries(
                family_type=family_type,
                name=f"monsoonlug_{name}",
                help_text=help_text,
                label=label,
                read=read,
            )
        )

    def format(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

    def build_app(self) -> web.Application:
        """Returns the application that serves the metrics."""
        app = web.Application()
        app.add_routes([web.get(METRICS_PATH, self._serve_metrics)])
        return app

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self.format(), content_type="text/plain")
