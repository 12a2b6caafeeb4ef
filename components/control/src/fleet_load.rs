//! What gateways have under way at back ends, as the leader heard it last, and
//! the digest of it that they are told.
//!
//! Each gateway sees only its own work. Told of the others', it sends less
//! where much is queued already. This is a belief: it is never logged, and a
//! new leader starts without it.

use std::collections::BTreeMap;

use garnet_types::{BackendId, GatewayId, Millis};

use crate::configuration::Configuration;
use crate::fleet_health::FleetHealth;
use crate::load_digest::{BackendState, GatewayDigest, LoadDigest, MembersHash};
use crate::messages::{Backlog, Evidence};
use crate::priority_counts::PriorityCounts;

/// What a gateway told longer ago than this is over by now.
const FRESH: Millis = Millis(1000);
/// Digests that one gateway is sent in a millisecond, in bytes: two thirds of
/// the 24 KB a second that control may cost a node.
const DIGEST_BYTES_PER_MS: u64 = 16;
/// Shortest time between two digests: what changed in less is not worth a
/// message.
const SHORTEST_INTERVAL: Millis = Millis(25);

/// The latest word of one gateway.
#[derive(Debug)]
struct Report {
    heard_at: Millis,
    /// By the gateway's clock.
    sent_at: Millis,
    backlogs: Vec<Backlog>,
}

/// A digest and what it was made of.
#[derive(Debug)]
struct Made {
    digest: LoadDigest,
    at: Millis,
    /// Rises with each digest.
    number: u64,
    /// When each gateway sent the report that is counted.
    counted: BTreeMap<GatewayId, Millis>,
}

/// Load and health of the fleet.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    reports: BTreeMap<GatewayId, Report>,
    health: FleetHealth,
    made: Option<Made>,
    /// Number of the digest that each gateway was told last.
    told: BTreeMap<GatewayId, u64>,
    /// Hash of the back ends of the configuration at this index.
    members: (u64, MembersHash),
}

impl FleetLoad {
    /// Takes the word of a gateway.
    pub(crate) fn record(
        &mut self,
        gateway: &GatewayId,
        sent_at: Millis,
        backlogs: Vec<Backlog>,
        evidence: Vec<Evidence>,
        now: Millis,
    ) {
        self.health.record(gateway, evidence, now);
        let report = Report {
            heard_at: now,
            sent_at,
            backlogs,
        };
        self.reports.insert(gateway.clone(), report);
    }

    /// The digest for a gateway, where there is one that it was not told yet.
    pub(crate) fn digest_for(
        &mut self,
        gateway: &GatewayId,
        configuration: &Configuration,
        now: Millis,
    ) -> Option<GatewayDigest> {
        if self.members.0 != configuration.index {
            let members = MembersHash::of(configuration.backends.keys());
            self.members = (configuration.index, members);
        }
        let members = self.members.1;
        let is_due = self.made.as_ref().is_none_or(|made| {
            let interval = made.digest.len_bytes() as u64 / DIGEST_BYTES_PER_MS;
            let interval = Millis(interval).max(SHORTEST_INTERVAL);
            !made.digest.is_of(members) || now.since(made.at) >= interval
        });
        if is_due {
            self.make(members, configuration, now);
        }
        let made = self.made.as_ref()?;
        let told = self.told.insert(gateway.clone(), made.number);
        (told != Some(made.number)).then(|| GatewayDigest {
            digest: made.digest.clone(),
            counted: made.counted.get(gateway).copied(),
        })
    }

    fn make(&mut self, members: MembersHash, configuration: &Configuration, now: Millis) {
        self.reports
            .retain(|_, report| now.since(report.heard_at) <= FRESH);
        let reports = &self.reports;
        self.told.retain(|gateway, _| reports.contains_key(gateway));
        let backends = &configuration.backends;
        self.health.keep(|id| backends.contains_key(id));
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
        let number = self.made.as_ref().map_or(0, |made| made.number + 1);
        let counted = self.reports.iter();
        let counted = counted.map(|(gateway, report)| (gateway.clone(), report.sent_at));
        self.made = Some(Made {
            digest,
            at: now,
            number,
            counted: counted.collect(),
        });
    }

    /// The sum over all gateways, by back end.
    pub(crate) fn sums(&self, now: Millis) -> BTreeMap<BackendId, Backlog> {
        let fresh = |report: &&Report| now.since(report.heard_at) <= FRESH;
        let reports = self.reports.values().filter(fresh);
        sum(reports.flat_map(|report| &report.backlogs))
    }

    /// How far the clocks of the gateways are ahead of this one, in the median
    /// of all, this one among them. A few clocks that jump do not move it.
    pub(crate) fn clocks_ahead_ms(&self, now: Millis) -> i64 {
        let fresh = |report: &&Report| now.since(report.heard_at) <= FRESH;
        let reports = self.reports.values().filter(fresh);
        let ahead = |report: &Report| report.sent_at.0 as i64 - report.heard_at.0 as i64;
        let mut all: Vec<i64> = reports.map(ahead).chain([0]).collect();
        let middle = all.len() / 2;
        *all.select_nth_unstable(middle).1
    }

    /// Forgets how requests ended at a back end that has started again since.
    pub(crate) fn on_restart(&mut self, backend: &BackendId) {
        self.health.keep(|id| id != backend);
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
