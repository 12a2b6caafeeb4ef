//! The work that gateways have in flight at back ends, as last reported to the leader, and
//! the digest of it that the leader sends to them.
//!
//! Each gateway sees only its own work. With the load of its peers it can send less to
//! back ends that already have long queues. The load is only an estimate: it is never
//! logged, and a new leader starts without it.

use std::collections::BTreeMap;

use garnet_types::{BackendId, GatewayId, Millis};

use crate::configuration::Configuration;
use crate::fleet_health::FleetHealth;
use crate::load_digest::{BackendListHash, BackendState, GatewayDigest, LoadDigest};
use crate::messages::{Backlog, Evidence};
use crate::priority_counts::PriorityCounts;

/// A report older than this no longer counts: the work in it has ended by then.
const REPORT_LIFETIME: Millis = Millis(1000);
/// Digest bytes that one gateway is sent per millisecond: two thirds of the 24 KB/s that
/// control traffic may use on a node.
const DIGEST_BYTES_PER_MS: u64 = 16;
/// Shortest time between two digests; what changes in less is not worth a message.
const MIN_DIGEST_INTERVAL: Millis = Millis(25);

/// The latest report of one gateway.
#[derive(Debug)]
struct Report {
    received_at: Millis,
    /// By the gateway's clock.
    sent_at: Millis,
    backlogs: Vec<Backlog>,
}

/// The latest digest, and the reports that it includes.
#[derive(Debug)]
struct LatestDigest {
    digest: LoadDigest,
    at: Millis,
    /// Increases with each digest.
    number: u64,
    /// When each gateway sent the report that the digest includes.
    counted: BTreeMap<GatewayId, Millis>,
}

/// Load and health of the fleet.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    reports: BTreeMap<GatewayId, Report>,
    health: FleetHealth,
    latest: Option<LatestDigest>,
    /// Number of the digest that each gateway was sent last.
    sent: BTreeMap<GatewayId, u64>,
    /// Hash of the back ends of the configuration at this index.
    members: (u64, BackendListHash),
}

impl FleetLoad {
    /// Records a gateway's report.
    pub(crate) fn record_report(
        &mut self,
        gateway: &GatewayId,
        sent_at: Millis,
        backlogs: Vec<Backlog>,
        evidence: Vec<Evidence>,
        now: Millis,
    ) {
        self.health.record_outcomes(gateway, evidence, now);
        let report = Report {
            received_at: now,
            sent_at,
            backlogs,
        };
        self.reports.insert(gateway.clone(), report);
    }

    /// The digest for a gateway, if there is one that it was not sent yet.
    pub(crate) fn digest_for(
        &mut self,
        gateway: &GatewayId,
        configuration: &Configuration,
        now: Millis,
    ) -> Option<GatewayDigest> {
        if self.members.0 != configuration.index {
            let members = BackendListHash::of(configuration.backends.keys());
            self.members = (configuration.index, members);
        }
        let members = self.members.1;
        let is_due = self.latest.as_ref().is_none_or(|latest| {
            let interval = latest.digest.len_bytes() as u64 / DIGEST_BYTES_PER_MS;
            let interval = Millis(interval).max(MIN_DIGEST_INTERVAL);
            !latest.digest.is_of(members) || now.since(latest.at) >= interval
        });
        if is_due {
            self.make_digest(members, configuration, now);
        }
        let latest = self.latest.as_ref()?;
        let sent = self.sent.insert(gateway.clone(), latest.number);
        (sent != Some(latest.number)).then(|| GatewayDigest {
            digest: latest.digest.clone(),
            counted: latest.counted.get(gateway).copied(),
        })
    }

    fn make_digest(
        &mut self,
        members: BackendListHash,
        configuration: &Configuration,
        now: Millis,
    ) {
        self.reports
            .retain(|_, report| now.since(report.received_at) <= REPORT_LIFETIME);
        let reports = &self.reports;
        self.sent.retain(|gateway, _| reports.contains_key(gateway));
        let backends = &configuration.backends;
        self.health.retain_backends(|id| backends.contains_key(id));
        let sums = self.sums(now);
        let services = backends
            .iter()
            .map(|(id, record)| (id, &record.registration.service));
        let failing = self.health.failing(services, self.reports.len(), now);
        let state = |(id, is_failing): (&BackendId, bool)| {
            let sum = sums.get(id);
            BackendState {
                is_failing,
                requests: sum.map_or(0, |sum| sum.requests),
                uncached: sum.map_or(PriorityCounts::default(), |sum| sum.uncached),
                held_tokens: sum.map_or(0, |sum| sum.held_tokens),
            }
        };
        let states = backends.keys().zip(failing).map(state);
        let digest = LoadDigest::encode(members, states);
        let number = self.latest.as_ref().map_or(0, |latest| latest.number + 1);
        let counted = self.reports.iter();
        let counted = counted.map(|(gateway, report)| (gateway.clone(), report.sent_at));
        self.latest = Some(LatestDigest {
            digest,
            at: now,
            number,
            counted: counted.collect(),
        });
    }

    /// The work of all gateways, by back end.
    pub(crate) fn sums(&self, now: Millis) -> BTreeMap<BackendId, Backlog> {
        let fresh = |report: &&Report| now.since(report.received_at) <= REPORT_LIFETIME;
        let reports = self.reports.values().filter(fresh);
        sum(reports.flat_map(|report| &report.backlogs))
    }

    /// How far the gateways' clocks are ahead of this one: the median over all gateways
    /// and this clock itself, which a few clocks that jump do not change.
    pub(crate) fn clocks_ahead_ms(&self, now: Millis) -> i64 {
        let fresh = |report: &&Report| now.since(report.received_at) <= REPORT_LIFETIME;
        let reports = self.reports.values().filter(fresh);
        let ahead = |report: &Report| report.sent_at.0 as i64 - report.received_at.0 as i64;
        let mut all: Vec<i64> = reports.map(ahead).chain([0]).collect();
        let middle = all.len() / 2;
        *all.select_nth_unstable(middle).1
    }

    /// Forgets how requests ended at a back end that has restarted.
    pub(crate) fn on_restart(&mut self, backend: &BackendId) {
        self.health.retain_backends(|id| id != backend);
    }

    pub(crate) fn clear(&mut self) {
        *self = FleetLoad::default();
    }
}

fn sum<'a>(backlogs: impl Iterator<Item = &'a Backlog>) -> BTreeMap<BackendId, Backlog> {
    let mut sums: BTreeMap<BackendId, Backlog> = BTreeMap::new();
    for backlog in backlogs {
        if !sums.contains_key(&backlog.backend) {
            let none = Backlog {
                backend: backlog.backend.clone(),
                requests: 0,
                uncached: PriorityCounts::default(),
                held_tokens: 0,
            };
            sums.insert(backlog.backend.clone(), none);
        }
        if let Some(total) = sums.get_mut(&backlog.backend) {
            total.requests += backlog.requests;
            total.uncached += backlog.uncached;
            total.held_tokens += backlog.held_tokens;
        }
    }
    sums
}
