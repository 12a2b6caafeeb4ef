//! What this gateway tells of its own work, and what it takes from the leader's
//! digest of all gateways' work.

use std::collections::{BTreeMap, VecDeque};

use garnet_control::{
    Backlog, CopyNews, Evidence, PlacedCopy, PlacedState, PromptCopy, ToldDigest,
};
use garnet_types::{BackendId, Millis, ServiceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backend_groups::{GroupKey, group_key};
use crate::cache_lifetime::lifetime;
use crate::peer_load::{GroupLoad, InFlight};
use crate::residency::Residency;

use super::Forwarder;

/// What was heard of the others' work at one back end counts for half after this
/// time, where nothing is known of the time that work is there.
const DEFAULT_HALF_LIFE: Millis = Millis(400);
/// Own reports that are remembered, to be taken off a digest that counts them:
/// more than are under way to the leader and back.
const MAX_REMEMBERED_REPORTS: usize = 32;
/// Weight of the newest interval between two digests.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Prefill engines that are looked at where beliefs are fresh: a few come close to
/// the best of all.
const MAX_SAMPLED: usize = 4;
/// One gateway of all tries a failing back end for so long, then another one.
const PROBE_SLOT: Millis = Millis(1000);

/// What is told to the other gateways through the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GatewayReport {
    /// Own work under way.
    pub backlogs: Vec<Backlog>,
    /// How own requests ended since the last report.
    pub evidence: Vec<Evidence>,
    /// Copies of prefixes that were learned of since the last report.
    pub copies: Vec<PromptCopy>,
}

/// Own reports and evidence.
#[derive(Debug, Default)]
pub(super) struct Reporting {
    /// Own work in the reports that were sent last, and when.
    sent: VecDeque<(Millis, Vec<Backlog>)>,
    evidence: BTreeMap<BackendId, Evidence>,
}

/// How old beliefs about the others' work are when they are used, in the mean:
/// reports and digests come at the same pace.
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
    /// The report that is sent to the leader now.
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

    /// Takes the leader's digest. One of other back ends than are known here
    /// is left aside.
    pub fn take_digest(&mut self, update: &ToldDigest, now: Millis) {
        let Some(states) = update.digest.states(self.groups.members()) else {
            return;
        };
        let own = self.counted_report(update.counted);
        for id in std::mem::take(&mut self.in_last_digest) {
            self.take_state(&id, InFlight::default(), false, now);
        }
        let mut sums: BTreeMap<GroupKey, InFlight> = BTreeMap::new();
        for PlacedState { place, state } in states {
            let Some(id) = self.groups.id_at(place).cloned() else {
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

    /// Notes what was told of one back end. Gives whom it is like.
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

    /// Notes what back ends that do the same work have in the mean.
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

    /// Works out how long engines keep prefixes, from what comes in here and at
    /// as many gateways.
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

    /// What is believed of the cache of a back end that is known.
    pub(super) fn cache_of(&mut self, id: &BackendId) -> Option<&mut Residency> {
        let backend = self.backends.get(id)?;
        let groups = &self.groups;
        let unknown = || Residency::with_lifetime(groups.cache_lifetime(backend));
        Some(self.residency.entry(id.clone()).or_insert_with(unknown))
    }

    /// Engines that are worth looking at for a prompt that none owns: the fewer
    /// the older beliefs are against the time that a prompt is at an engine. What
    /// is older tells nothing of the present queue, and those who go by it all go
    /// the same way.
    pub(super) fn engines_to_sample(&self, service: &ServiceId) -> usize {
        let prefill = self.turnover(service).0 as f64;
        let fresh = prefill / self.estimate_age.mean_ms.max(1.0);
        (MAX_SAMPLED as f64 * fresh.min(1.0)).round() as usize
    }

    /// Whether beliefs are fresh enough to compare all engines.
    pub(super) fn may_compare_all(&self, service: &ServiceId) -> bool {
        self.engines_to_sample(service) >= MAX_SAMPLED
    }

    /// How long a prompt is at a prefill engine of the service, in the mean.
    fn turnover(&self, service: &ServiceId) -> Millis {
        self.pace_of_service(service).mean()
    }

    /// Own work in the report that was sent at this moment.
    fn counted_report(&self, sent_at: Option<Millis>) -> BTreeMap<BackendId, Backlog> {
        let sent = &self.reporting.sent;
        let counted = sent.iter().find(|(at, _)| Some(*at) == sent_at);
        let backlogs = counted.map_or(&[][..], |(_, backlogs)| backlogs);
        let by_id = |backlog: &Backlog| (backlog.backend.clone(), backlog.clone());
        backlogs.iter().map(by_id).collect()
    }

    /// A failing back end is tried by one gateway at a time, so that its return
    /// is seen at the cost of few requests.
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

    /// Takes the leader's news of copies. Those about other back ends than are
    /// known here are left aside.
    pub fn take_copy_updates(&mut self, updates: &CopyNews, now: Millis) {
        if updates.copies.is_empty() || updates.members != self.groups.members() {
            return;
        }
        let locate = |copy: &PlacedCopy| {
            let backend = self.groups.id_at(usize::from(copy.place))?.clone();
            let prefix = copy.prefix;
            Some(PromptCopy { prefix, backend })
        };
        let copies: Vec<PromptCopy> = updates.copies.iter().filter_map(locate).collect();
        self.note_copies(&copies, now);
    }

    /// Takes what the other gateways know of copies.
    pub fn note_copies(&mut self, copies: &[PromptCopy], now: Millis) {
        for copy in copies {
            // One that is not known yet is told of again later.
            if let Some(residency) = self.cache_of(&copy.backend) {
                residency.note_reported(copy.prefix, now);
            }
        }
    }
}
