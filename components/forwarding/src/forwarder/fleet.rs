//! What this gateway tells of its own work, and what it takes from the leader's
//! digest of all gateways' work.

use std::collections::{BTreeMap, VecDeque};

use garnet_control::{Backlog, Evidence, MembersHash, PromptCopy, ToldDigest};
use garnet_types::{BackendId, EngineRole, Millis, ServiceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backends::{Backend, Underway};

use super::Forwarder;

/// Own reports that are remembered, to be taken off a digest that counts them:
/// more than are under way to the leader and back.
const REMEMBERED_REPORTS: usize = 32;
/// One gateway of all tries a failing back end for so long, then another one.
const PROBE_SLOT: Millis = Millis(1000);

/// What is told to the other gateways through the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetReport {
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

/// Back ends that do the same work.
type Likes = (ServiceId, Option<EngineRole>);

fn likes(backend: &Backend) -> Likes {
    (backend.registration.service.clone(), backend.role)
}

impl Forwarder {
    /// The report that is sent to the leader now.
    pub fn report(&mut self, now: Millis) -> FleetReport {
        let backlog = |(id, backend): (&BackendId, &Backend)| backend.load.own(id);
        let backlogs: Vec<Backlog> = self.backends.iter().filter_map(backlog).collect();
        let reporting = &mut self.reporting;
        if reporting.sent.len() == REMEMBERED_REPORTS {
            reporting.sent.pop_front();
        }
        reporting.sent.push_back((now, backlogs.clone()));
        let evidence = std::mem::take(&mut reporting.evidence);
        FleetReport {
            backlogs,
            evidence: evidence.into_values().collect(),
            copies: std::mem::take(&mut self.news),
        }
    }

    /// Takes the leader's digest. One of other back ends than are known here
    /// is left aside.
    pub fn take_digest(&mut self, told: &ToldDigest, now: Millis) {
        let members = MembersHash::of(self.backends.keys());
        let Some(states) = told.digest.states(members) else {
            return;
        };
        let ids: Vec<BackendId> = self.backends.keys().cloned().collect();
        let own = self.counted_report(told.counted);
        let mut others = BTreeMap::new();
        for (id, state) in ids.iter().zip(&states) {
            let all = Underway {
                requests: state.requests,
                uncached: state.uncached,
                held_tokens: state.held_tokens,
            };
            let there = own.get(id).map_or(all, |own| all.without(own));
            others.insert(id.clone(), there);
            self.note_failing(id, state.is_failing, now);
        }
        self.take_others(&others, now);
    }

    /// Takes what the other gateways have under way; nothing where a back end
    /// is not named.
    pub fn take_backlogs(&mut self, backlogs: &[Backlog], now: Millis) {
        let underway = |backlog: &Backlog| (backlog.backend.clone(), Underway::from(backlog));
        let others = backlogs.iter().map(underway).collect();
        self.take_others(&others, now);
    }

    fn take_others(&mut self, others: &BTreeMap<BackendId, Underway>, now: Millis) {
        let there = |id: &BackendId| others.get(id).copied().unwrap_or_default();
        let mut alike: BTreeMap<Likes, Vec<Underway>> = BTreeMap::new();
        for (id, backend) in &self.backends {
            alike.entry(likes(backend)).or_default().push(there(id));
        }
        let mean = |all: Vec<Underway>| Underway::mean_of(all.iter());
        let means: BTreeMap<Likes, Underway> =
            alike.into_iter().map(|(of, all)| (of, mean(all))).collect();
        for (id, backend) in &mut self.backends {
            let mean = means.get(&likes(backend)).copied().unwrap_or_default();
            backend.load.take_others(there(id), mean, now);
        }
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
        let lot = xxh3_64_with_seed(id.as_str().as_bytes(), self.seed ^ slot);
        let may_probe = lot.is_multiple_of(self.gateways.max(1));
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

    /// Takes what the other gateways know of copies.
    pub fn note_copies(&mut self, copies: &[PromptCopy], now: Millis) {
        for copy in copies {
            // One that is not known yet is told of again later.
            if self.backends.contains_key(&copy.backend) {
                let residency = self.residency.entry(copy.backend.clone()).or_default();
                residency.note_told(copy.prefix, now);
            }
        }
    }
}
