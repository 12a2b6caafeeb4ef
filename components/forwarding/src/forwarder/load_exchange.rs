//! Exchange of load reports: this gateway reports its own work to the leader and applies
//! the leader's digest of all gateways' work.

use std::collections::{BTreeMap, VecDeque};

use garnet_control::{
    Backlog, CopyUpdates, Evidence, GatewayDigest, PositionedCopy, PositionedState, PromptCopy,
};
use garnet_types::{BackendId, Millis, ServiceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backend_groups::{GroupKey, group_key};
use crate::cache_lifetime::lifetime;
use crate::peer_load::{GroupLoad, InFlight};
use crate::residency::Residency;

use super::Forwarder;

/// Half-life of what was reported about peers' work at one back end, while the time that
/// work stays there is unknown.
const DEFAULT_HALF_LIFE: Millis = Millis(400);
/// Number of own reports that are kept, to be subtracted from a digest that counts them:
/// more than are in flight to the leader and back.
const MAX_REMEMBERED_REPORTS: usize = 32;
/// Weight of the newest interval between two digests in the moving average.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Number of prefill engines to compare while estimates are fresh: the best of a few is
/// close to the best of all.
const MAX_SAMPLED: usize = 4;
/// Time for which one gateway probes a failing back end before another gateway takes
/// over.
const PROBE_SLOT: Millis = Millis(1000);

/// What this gateway reports to its peers through the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GatewayReport {
    /// Own work in flight.
    pub backlogs: Vec<Backlog>,
    /// How own requests ended since the last report.
    pub evidence: Vec<Evidence>,
    /// Copies of prefixes that were learned of since the last report.
    pub copies: Vec<PromptCopy>,
}

/// Own reports and evidence.
#[derive(Debug, Default)]
pub(super) struct Reporting {
    /// Own work in the most recent reports, with the time when each was sent.
    sent: VecDeque<(Millis, Vec<Backlog>)>,
    evidence: BTreeMap<BackendId, Evidence>,
}

/// Mean age of estimates of peers' work when they are used, estimated as the mean interval
/// between two digests: peers' reports reach the leader at the same interval.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EstimateAge {
    received_at: Option<Millis>,
    mean_ms: f64,
}

impl EstimateAge {
    fn received(&mut self, now: Millis) {
        if let Some(before) = self.received_at.replace(now) {
            let interval = now.since(before).0 as f64;
            self.mean_ms += INTERVAL_WEIGHT * (interval - self.mean_ms);
        }
    }
}

impl Forwarder {
    /// Returns the report to send to the leader now.
    pub fn report(&mut self, now: Millis) -> GatewayReport {
        let backends = &self.backends;
        let own = |id: &BackendId| {
            backends
                .get(id)
                .and_then(|backend| backend.load.own_backlog(id))
        };
        self.with_own_work.retain(|id| own(id).is_some());
        let backlogs: Vec<Backlog> = self.with_own_work.iter().filter_map(own).collect();
        let reporting = &mut self.reporting;
        if reporting.sent.len() == MAX_REMEMBERED_REPORTS {
            reporting.sent.pop_front();
        }
        reporting.sent.push_back((now, backlogs.clone()));
        let evidence = std::mem::take(&mut reporting.evidence);
        GatewayReport {
            backlogs,
            evidence: evidence.into_values().collect(),
            copies: std::mem::take(&mut self.pending_copies),
        }
    }

    /// Applies the leader's digest. A digest for another set of back ends than is known
    /// here is ignored.
    pub fn take_digest(&mut self, update: &GatewayDigest, now: Millis) {
        let Some(states) = update.digest.states(self.groups.members()) else {
            return;
        };
        let own = self.counted_report(update.counted);
        for id in std::mem::take(&mut self.in_last_digest) {
            self.take_state(&id, InFlight::default(), false, now);
        }
        let mut sums: BTreeMap<GroupKey, InFlight> = BTreeMap::new();
        for PositionedState { position, state } in states {
            let Some(id) = self.groups.id_at(position).cloned() else {
                continue;
            };
            let all = InFlight::from(&state);
            let reported = own.get(&id).map_or(all, |own| all.without(own));
            if let Some(key) = self.take_state(&id, reported, state.is_failing, now) {
                sums.entry(key).or_default().add(&reported);
            }
            self.in_last_digest.push(id);
        }
        self.set_group_means(&sums, now);
        self.estimate_age.received(now);
        self.note_cache_lifetimes(now);
    }

    /// Stores the reported state of one back end. Returns the key of its group.
    fn take_state(
        &mut self,
        id: &BackendId,
        reported: InFlight,
        is_failing: bool,
        now: Millis,
    ) -> Option<GroupKey> {
        self.note_failing(id, is_failing, now);
        let backend = self.backends.get_mut(id)?;
        backend.load.peers_mut().received(reported);
        Some(group_key(backend))
    }

    /// Stores the mean load of each group.
    fn set_group_means(&mut self, sums: &BTreeMap<GroupKey, InFlight>, now: Millis) {
        let learned = &self.learned;
        for (key, group) in self.groups.iter() {
            let sum = sums.get(key).copied().unwrap_or_default();
            let pace = learned.get(&key.0).map(|learned| learned.prefill.mean());
            group.estimate.replace(GroupLoad {
                mean: sum.mean(group.count),
                received_at: now,
                half_life: pace.unwrap_or(DEFAULT_HALF_LIFE).max(Millis(1)),
            });
        }
    }

    /// Estimates how long engines keep prefixes, assuming that all gateways receive
    /// prompts at the rate of this one.
    fn note_cache_lifetimes(&self, now: Millis) {
        let table = self.configuration.routes.as_ref();
        for ((service, _), group) in self.groups.iter() {
            let limits = table.and_then(|table| table.engine_limits(service));
            let learned = self.learned.get(service);
            if let (Some(limits), Some(learned)) = (limits, learned) {
                let rate = learned.prompt_rate.per_s(now) * self.gateways as f64;
                let lifetime = lifetime(limits.cache_tokens, group.count.max(1), rate);
                group.cache_lifetime.set(Some(lifetime));
            }
        }
    }

    /// The estimated cache content of a known back end.
    pub(super) fn cache_of(&mut self, id: &BackendId) -> Option<&mut Residency> {
        let backend = self.backends.get(id)?;
        let groups = &self.groups;
        let new_estimate = || Residency::with_lifetime(groups.cache_lifetime(backend));
        Some(
            self.residency
                .entry(id.clone())
                .or_insert_with(new_estimate),
        )
    }

    /// Number of engines to compare for a prompt whose shared prefix is too short to have
    /// owners. It falls as estimates get older than the time that a prompt stays at an
    /// engine: older estimates tell nothing about the present queue, and gateways that all
    /// follow them choose the same engine.
    pub(super) fn engines_to_sample(&self, service: &ServiceId) -> usize {
        let prefill = self.mean_prefill_time(service).0 as f64;
        let fresh = prefill / self.estimate_age.mean_ms.max(1.0);
        (MAX_SAMPLED as f64 * fresh.min(1.0)).round() as usize
    }

    /// Whether estimates are fresh enough to compare all engines.
    pub(super) fn may_compare_all(&self, service: &ServiceId) -> bool {
        self.engines_to_sample(service) >= MAX_SAMPLED
    }

    /// Mean time that a prompt stays at a prefill engine of the service.
    fn mean_prefill_time(&self, service: &ServiceId) -> Millis {
        self.pace_of_service(service).mean()
    }

    /// Own work in the report that was sent at this time.
    fn counted_report(&self, sent_at: Option<Millis>) -> BTreeMap<BackendId, Backlog> {
        let sent = &self.reporting.sent;
        let counted = sent.iter().find(|(at, _)| Some(*at) == sent_at);
        let backlogs = counted.map_or(&[][..], |(_, backlogs)| backlogs);
        let by_id = |backlog: &Backlog| (backlog.backend.clone(), backlog.clone());
        backlogs.iter().map(by_id).collect()
    }

    /// Records whether a back end fails. One gateway at a time probes a failing back end,
    /// so that its recovery is noticed at the cost of few requests.
    fn note_failing(&mut self, id: &BackendId, is_failing: bool, now: Millis) {
        let slot = now.0 / PROBE_SLOT.0;
        let draw = xxh3_64_with_seed(id.as_str().as_bytes(), self.seed ^ slot);
        let may_probe = draw.is_multiple_of(self.gateways.max(1));
        if let Some(backend) = self.backends.get_mut(id) {
            backend.failing_at = is_failing.then_some(now);
            backend.may_probe = may_probe;
        }
    }

    pub(super) fn evidence_of(&mut self, id: &BackendId) -> &mut Evidence {
        let evidence = &mut self.reporting.evidence;
        evidence.entry(id.clone()).or_insert_with(|| Evidence {
            backend: id.clone(),
            answered: 0,
            failed: 0,
            unreachable: 0,
        })
    }

    /// Applies the leader's updates of prefix copies. Updates for another set of back
    /// ends than is known here are ignored.
    pub fn take_copy_updates(&mut self, updates: &CopyUpdates, now: Millis) {
        if updates.copies.is_empty() || updates.members != self.groups.members() {
            return;
        }
        let locate = |copy: &PositionedCopy| {
            let backend = self.groups.id_at(usize::from(copy.place))?.clone();
            let prefix = copy.prefix;
            Some(PromptCopy { prefix, backend })
        };
        let copies: Vec<PromptCopy> = updates.copies.iter().filter_map(locate).collect();
        self.note_copies(&copies, now);
    }

    /// Records prefix copies that peer gateways reported.
    pub fn note_copies(&mut self, copies: &[PromptCopy], now: Millis) {
        for copy in copies {
            // A copy at an unknown back end is reported again later.
            if let Some(residency) = self.cache_of(&copy.backend) {
                residency.note_reported(copy.prefix, now);
            }
        }
    }
}
