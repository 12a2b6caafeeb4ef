//! Counters and latency histograms of a gateway.

use garnet_routes::WorkKind;
use garnet_runtime::ByteBudget;
use garnet_runtime::metrics::{encode_registry, gauge_value, registered};
use garnet_types::{ByteCount, EncodingVersion, Millis};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

type Labels = Vec<(&'static str, String)>;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0,
];

fn latency() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

/// The metrics of a gateway process.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: Family<Labels, Counter>,
    refused: Family<Labels, Counter>,
    attempts: Family<Labels, Counter>,
    cuts: Family<Labels, Counter>,
    took: Family<Labels, Histogram>,
    first_event: Family<Labels, Histogram>,
    unknown_names: Family<Labels, Counter>,
    permits: Family<Labels, Counter>,
    backoffs: Family<Labels, Counter>,
    withheld: Family<Labels, Counter>,
    connection_waits: Family<Labels, Counter>,
    relayed: Family<Labels, Counter>,
    until_close: Family<Labels, Counter>,
    buffer_refusals: Gauge,
    buffered: Gauge,
    buffered_peak: Gauge,
    buffer_budget: Gauge,
    lost_paths: Gauge,
    limited: Gauge,
    usage_lost: Counter,
    watch_age_ms: Gauge,
    routes_version: Gauge,
    open_requests: Gauge,
}

impl GatewayMetrics {
    pub(crate) fn lost_usage(&self, requests: u64) {
        self.usage_lost.inc_by(requests);
    }

    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("garnet_forwarding");
        let all = &mut registry;
        let counters = Family::<Labels, Counter>::default;
        let latencies = || Family::<Labels, Histogram>::new_with_constructor(latency);
        let help = "Requests by route, kind and outcome";
        let requests = registered(all, "requests", help, counters());
        let help = "Requests without a route, by reason";
        let refused = registered(all, "refused", help, counters());
        let help = "Attempts by how they ended";
        let attempts = registered(all, "attempts", help, counters());
        let help = "Streams that began and were not brought to their end, by cause";
        let cuts = registered(all, "cuts", help, counters());
        let help = "Time to the end of the answer";
        let took = registered(all, "took_seconds", help, latencies());
        let help = "Time to the first event of a stream";
        let first_event = registered(all, "time_to_first_token_seconds", help, latencies());
        let help = "Answers of back ends with a name that is not known, by name";
        let unknown_names = registered(all, "unknown_answer_names", help, counters());
        let help = "Questions for permits to send to back ends with a limit, by answer";
        let permits = registered(all, "permits", help, counters());
        let help = "Answers that request a backoff, by phase of the attempt";
        let backoffs = registered(all, "backoffs", help, counters());
        let help = "Attempts that were withheld: their back end took none any more";
        let withheld = registered(all, "withheld", help, counters());
        let help = "Requests that waited for a connection to a back end, by outcome";
        let connection_waits = registered(all, "connection_waits", help, counters());
        let help = "Requests handed to peer gateways, by outcome";
        let relayed = registered(all, "relayed", help, counters());
        let help = "Answers that end with their connection, by phase of the attempt";
        let until_close = registered(all, "until_close", help, counters());
        let help = "Bodies and answers for which the budget of buffered bytes had no room";
        let buffer_refusals = registered(all, "buffer_refusals", help, Gauge::default());
        let help = "Bytes of bodies and answers that are buffered";
        let buffered = registered(all, "buffered_bytes", help, Gauge::default());
        let help = "Most bytes that were buffered at once";
        let buffered_peak = registered(all, "buffered_bytes_peak", help, Gauge::default());
        let help = "Budget of buffered bytes";
        let buffer_budget = registered(all, "buffer_budget_bytes", help, Gauge::default());
        let help = "Services to whose back ends there is no path";
        let lost_paths = registered(all, "lost_paths", help, Gauge::default());
        let help = "Back ends that are known to have a limit";
        let limited = registered(all, "limited_backends", help, Gauge::default());
        let help = "Requests that were counted too late for their window of usage";
        let usage_lost = registered(all, "usage_lost", help, Counter::default());
        let help = "Encoding version of this build";
        let version: Gauge = registered(all, "encoding_version", help, Gauge::default());
        version.set(i64::from(EncodingVersion::CURRENT.0));
        let help = "Time since the leader was heard";
        let watch_age_ms = registered(all, "watch_age_ms", help, Gauge::default());
        let help = "Version of the route table in force";
        let routes_version = registered(all, "routes_version", help, Gauge::default());
        let help = "Requests without a final answer";
        let open_requests = registered(all, "open_requests", help, Gauge::default());
        GatewayMetrics {
            registry,
            requests,
            refused,
            attempts,
            cuts,
            took,
            first_event,
            unknown_names,
            permits,
            backoffs,
            withheld,
            connection_waits,
            relayed,
            until_close,
            buffer_refusals,
            buffered,
            buffered_peak,
            buffer_budget,
            lost_paths,
            limited,
            usage_lost,
            watch_age_ms,
            routes_version,
            open_requests,
        }
    }

    pub(crate) fn request(&self, route: &str, kind: WorkKind, outcome: &str, took: Millis) {
        let route = ("route", route.to_owned());
        let labels = vec![
            route.clone(),
            ("kind", kind.as_str().to_owned()),
            ("outcome", outcome.to_owned()),
        ];
        self.requests.get_or_create(&labels).inc();
        let took_seconds = took.as_secs_f64();
        self.took.get_or_create(&vec![route]).observe(took_seconds);
    }

    pub(crate) fn refused(&self, reason: &str) {
        let labels = vec![("reason", reason.to_owned())];
        self.refused.get_or_create(&labels).inc();
    }

    pub(crate) fn attempt(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.attempts.get_or_create(&labels).inc();
    }

    pub(crate) fn cut(&self, cause: &str) {
        let labels = vec![("cause", cause.to_owned())];
        self.cuts.get_or_create(&labels).inc();
    }

    pub(crate) fn unknown_name(&self, name: &str) {
        let labels = vec![("name", name.to_owned())];
        self.unknown_names.get_or_create(&labels).inc();
    }

    pub(crate) fn permit(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.permits.get_or_create(&labels).inc();
    }

    pub(crate) fn backoff_requested(&self, phase: &str) {
        let labels = vec![("phase", phase.to_owned())];
        self.backoffs.get_or_create(&labels).inc();
    }

    pub(crate) fn withheld(&self, phase: &str) {
        let labels = vec![("phase", phase.to_owned())];
        self.withheld.get_or_create(&labels).inc();
    }

    pub(crate) fn connection_wait(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.connection_waits.get_or_create(&labels).inc();
    }

    pub(crate) fn relayed(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_owned())];
        self.relayed.get_or_create(&labels).inc();
    }

    pub(crate) fn until_close(&self, phase: &'static str) {
        let labels = vec![("phase", phase.to_owned())];
        self.until_close.get_or_create(&labels).inc();
    }

    pub(crate) fn set_buffered(&self, budget: &ByteBudget) {
        let set = |gauge: &Gauge, count: ByteCount| gauge.set(gauge_value(count.0 as u64));
        set(&self.buffered, budget.used());
        set(&self.buffered_peak, budget.peak());
        set(&self.buffer_budget, budget.limit());
        self.buffer_refusals.set(gauge_value(budget.refusals()));
    }

    pub(crate) fn set_lost_paths(&self, services: usize) {
        self.lost_paths.set(gauge_value(services as u64));
    }

    pub(crate) fn set_limited(&self, backends: usize) {
        self.limited.set(gauge_value(backends as u64));
    }

    pub(crate) fn first_event(&self, route: &str, took: Millis) {
        let labels = vec![("route", route.to_owned())];
        let histogram = self.first_event.get_or_create(&labels);
        histogram.observe(took.as_secs_f64());
    }

    /// Renders the text of the metrics page.
    pub(crate) fn render(&self, watch_age: Millis, version: u64, open: usize) -> String {
        self.watch_age_ms.set(gauge_value(watch_age.0));
        self.routes_version.set(gauge_value(version));
        self.open_requests.set(gauge_value(open as u64));
        encode_registry(&self.registry)
    }
}
