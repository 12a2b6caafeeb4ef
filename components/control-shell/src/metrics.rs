//! Counters and latency histograms of a replica.

use std::time::Duration;

use garnet_control::{Duty, DutyAnswer, DutyCall, EngineRequest, Replica};
use garnet_runtime::metrics::{encode_registry, gauge_value, registered};
use garnet_types::{EncodingVersion, Millis};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

type Labels = Vec<(&'static str, &'static str)>;

/// Upper bounds of the histogram buckets for sync times, in seconds.
const SYNC_BUCKETS: [f64; 10] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0];

/// Metrics of a replica.
pub struct ReplicaMetrics {
    registry: Registry,
    syncs: Histogram,
    snapshots: Counter,
    engine_requests: Family<Labels, Counter>,
    roles_stated: Counter,
    terms_led: Counter,
    term: Gauge,
    leads: Gauge,
    commit_index: Gauge,
    disk_full: Gauge,
    duty_calls: Family<Labels, Counter>,
    usage_unreported: Gauge,
    usage_open: Gauge,
    duty_token: Gauge,
    quarantined: Gauge,
    noted_streams: Gauge,
    inspected: Gauge,
    backends: Gauge,
    skipped_entries: Gauge,
    limited: Gauge,
    level: Gauge,
    halted: Gauge,
    earlier_processes: Gauge,
}

impl Default for ReplicaMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("garnet_replica");
        let all = &mut registry;
        let syncs = Histogram::new(SYNC_BUCKETS);
        let syncs = registered(
            all,
            "sync_seconds",
            "Writes to the log and their sync",
            syncs,
        );
        let snapshots = Counter::default();
        let snapshots = registered(all, "snapshots", "Snapshots written", snapshots);
        let engine_requests = Family::default();
        let engine_requests = registered(
            all,
            "engine_requests",
            "Questions and orders to engines",
            engine_requests,
        );
        let roles_stated = Counter::default();
        let roles_stated = registered(
            all,
            "roles_stated",
            "Roles stated for engines",
            roles_stated,
        );
        let terms_led = Counter::default();
        let terms_led = registered(all, "terms_led", "Elections won", terms_led);
        let term = registered(all, "term", "Term", Gauge::default());
        let leads = registered(
            all,
            "leads",
            "Whether it leads under its lease",
            Gauge::default(),
        );
        let commit_index = Gauge::default();
        let commit_index = registered(all, "commit_index", "Highest committed index", commit_index);
        let help = "Whether its disk has no room, so that it acknowledges nothing";
        let disk_full = registered(all, "disk_full", help, Gauge::default());
        let help = "Calls to the platform, by duty and how they ended";
        let duty_calls = registered(all, "duty_calls", help, Family::default());
        let help = "Windows of usage that are closed and that the platform has not taken";
        let usage_unreported = registered(all, "usage_windows_untold", help, Gauge::default());
        let help = "Windows of usage that gateways counted in and that are not closed";
        let usage_open = registered(all, "usage_windows_open", help, Gauge::default());
        let help = "Fencing token of the present holder of the duties, 0 for none";
        let duty_token = registered(all, "duty_token", help, Gauge::default());
        let help = "Requests that are refused since engines ended under them";
        let quarantined = registered(all, "quarantined_requests", help, Gauge::default());
        let help = "Streams whose build is known, where engines of several builds serve";
        let noted_streams = registered(all, "noted_streams", help, Gauge::default());
        let help = "Back ends that the regular work of a leader has looked at";
        let inspected = registered(all, "backends_looked_at", help, Gauge::default());
        let help = "Back ends that are known";
        let backends = registered(all, "backends", help, Gauge::default());
        let help = "Entries of the list of machines that the newest reading left aside";
        let skipped_entries = registered(all, "list_entries_left_aside", help, Gauge::default());
        let help = "Back ends that have named a limit, where this replica leads";
        let limited = registered(all, "limited_backends", help, Gauge::default());
        let help = "Encoding version of this build";
        let version: Gauge = registered(all, "encoding_version", help, Gauge::default());
        version.set(i64::from(EncodingVersion::CURRENT.0));
        let help = "Encoding version of the log, 0 while it is not known";
        let level = registered(all, "level", help, Gauge::default());
        let help = "Whether the log holds an entry that this build can't read";
        let halted = registered(all, "halted", help, Gauge::default());
        let help = "Members and connected gateways of earlier builds, as far as known";
        let earlier_processes = registered(all, "earlier_processes", help, Gauge::default());
        ReplicaMetrics {
            level,
            halted,
            earlier_processes,
            limited,
            skipped_entries,
            quarantined,
            noted_streams,
            inspected,
            backends,

            duty_calls,
            usage_unreported,
            usage_open,
            duty_token,
            disk_full,
            registry,
            syncs,
            snapshots,
            engine_requests,
            roles_stated,
            terms_led,
            term,
            leads,
            commit_index,
        }
    }
}

impl ReplicaMetrics {
    pub(crate) fn observe_sync(&self, duration: Duration) {
        self.syncs.observe(duration.as_secs_f64());
    }

    pub(crate) fn set_disk_full(&self, is_full: bool) {
        self.disk_full.set(i64::from(is_full));
    }

    pub(crate) fn count_snapshot(&self) {
        self.snapshots.inc();
    }

    pub(crate) fn count_engine_request(&self, request: &EngineRequest) {
        let kind = match request {
            EngineRequest::Status => "status",
            EngineRequest::Order(_) => "order",
        };
        self.engine_requests
            .get_or_create(&vec![("kind", kind)])
            .inc();
    }

    pub(crate) fn count_stated_role(&self) {
        self.roles_stated.inc();
    }

    pub(crate) fn count_duty_call(&self, call: &DutyCall, answer: DutyAnswer) {
        let duty = match &call.duty {
            Duty::Usage { .. } => "usage",
            Duty::Fleet { .. } => "fleet",
        };
        let labels = vec![("duty", duty), ("answer", answer.as_str())];
        self.duty_calls.get_or_create(&labels).inc();
    }

    pub(crate) fn set_skipped_entries(&self, entries: usize) {
        self.skipped_entries.set(gauge_value(entries as u64));
    }

    pub(crate) fn count_won_election(&self) {
        self.terms_led.inc();
    }

    pub(crate) fn update(&self, replica: &Replica, now: Millis) {
        let node = replica.node();
        let status = node.status();
        self.term.set(gauge_value(status.term));
        self.commit_index.set(gauge_value(status.commit_index));
        self.leads.set(i64::from(node.holds_lease(now)));
        let level = replica.level().unwrap_or_default();
        self.level.set(i64::from(level.0));
        self.halted.set(i64::from(replica.halted().is_some()));
        let earlier = replica.earlier_processes();
        self.earlier_processes.set(gauge_value(earlier as u64));
        let usage = &replica.state().usage;
        self.usage_unreported.set(usage.unreported().len() as i64);
        self.usage_open.set(usage.open_windows() as i64);
        let tenure = replica.state().tenures.current();
        let token = tenure.map_or(0, |tenure| tenure.token);
        self.duty_token.set(gauge_value(token));
        self.inspected
            .set(gauge_value(replica.inspected_backends()));
        let backends = replica.state().configuration.backends.len();
        self.backends.set(gauge_value(backends as u64));
        let limited = replica.limited_backends();
        self.limited.set(gauge_value(limited as u64));
        let quarantined = replica.state().configuration.quarantine.len();
        self.quarantined.set(gauge_value(quarantined as u64));
        self.noted_streams
            .set(gauge_value(replica.noted_streams() as u64));
    }

    /// Renders the metrics as the text that the metrics address serves.
    pub fn render(&self) -> String {
        encode_registry(&self.registry)
    }
}
