//! The replicas' side of the quarantine: requests that crash engines are refused by all
//! gateways.
//!
//! The leader decides, or a replica that receives the reports in its place. Gateways receive a
//! verdict with the next answer to their watch, whether or not the log can take it: neither a slow
//! disk nor a log of version 11 delays one. What the log holds outlives the leader.

mod prompt_evidence;
mod report_connections;

use std::collections::{BTreeMap, BTreeSet};

use garnet_quarantine::{
    CrashTracker, PartDecision, PromptTracker, RequestFingerprint, SuspectedRequest, Suspects,
};
use garnet_types::{GatewayId, Millis};

use crate::command::Command;
use crate::effects::Effect;
use crate::messages::Evidence;
use crate::state::QUARANTINE_DURATION;

use super::Replica;
use prompt_evidence::SentEvidence;

/// A list that is not empty is sent again after this time: an answer may be lost on a bad
/// link while its connection stays open.
const RESEND_INTERVAL: Millis = Millis::from_secs(1);

/// Minimum time between two log entries about suspected requests.
const MIN_LOG_INTERVAL: Millis = Millis(200);

/// A verdict that the log still lacks is proposed again after this time.
const PROPOSAL_RETRY_INTERVAL: Millis = Millis::from_secs(1);

/// Maximum number of verdicts that the log lacks, 16 bytes each in the list that gateways
/// receive every second. Beyond it the oldest one is released.
const MAX_UNLOGGED: usize = 256;

/// Volatile state of suspected requests, of the leader or of a replica that receives reports in
/// its place. It can be lost at any time.
#[derive(Debug, Default)]
pub(super) struct Quarantining {
    tracker: CrashTracker,
    /// The same for parts of prompts.
    prompts: PromptTracker,
    sent_evidence: SentEvidence,
    /// Verdicts that the log does not hold yet.
    unlogged: BTreeMap<RequestFingerprint, UnloggedVerdict>,
    /// The list that gateways receive.
    suspects: Suspects,
    /// Number of the list, which rises with each change.
    number: u64,
    sent: BTreeMap<GatewayId, SentList>,
    /// The lists that were last sent on report connections.
    report_connections: BTreeMap<u64, Option<SentList>>,
    /// When verdicts were last decided while not leading.
    decided_at: Millis,
    /// Log index of the configuration with which the tracker was last synchronized.
    synced_index: u64,
    /// Whether the previous leader's suspects were restored from the log.
    has_restored: bool,
    /// When suspects were last proposed to the log.
    logged_at: Millis,
}

/// A verdict that the log does not hold yet.
#[derive(Debug, Clone, Copy)]
struct UnloggedVerdict {
    /// Number of engines that crashed.
    crashes: u32,
    decided_at: Millis,
    proposed_at: Option<Millis>,
}

impl UnloggedVerdict {
    fn is_proposal_due(&self, now: Millis) -> bool {
        self.proposed_at
            .is_none_or(|at| now.since(at) >= PROPOSAL_RETRY_INTERVAL)
    }
}

/// The list that a gateway was last sent.
#[derive(Debug, Clone, Copy)]
struct SentList {
    number: u64,
    connection: u64,
    at: Millis,
}

impl Quarantining {
    /// Handles the start or the end of this replica's leadership. Gateways report their runs
    /// again, and to another leader afterwards, so that only verdicts are kept.
    pub(super) fn on_leadership_change(&mut self) {
        let previous = std::mem::take(self);
        self.number = previous.number + 1;
        self.report_connections = previous.report_connections;
        self.sent_evidence = previous.sent_evidence.after_leadership_change();
        for (fingerprint, verdict) in previous.unlogged {
            self.tracker.refuse(fingerprint);
            self.prompts.refuse(fingerprint);
            let proposed_at = None;
            let verdict = UnloggedVerdict {
                proposed_at,
                ..verdict
            };
            self.unlogged.insert(fingerprint, verdict);
        }
        self.update_list();
    }

    /// Handles a snapshot of a log that takes verdicts: it may have held each of these, and also
    /// its release.
    pub(super) fn on_snapshot(&mut self) {
        self.unlogged.clear();
    }

    /// The list for a gateway, unless it is known to have it.
    pub(super) fn suspects_for(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
        now: Millis,
    ) -> Option<Suspects> {
        let sent = SentList {
            number: self.number,
            connection,
            at: now,
        };
        let previous = self.sent.get(gateway);
        if previous.is_some_and(|previous| self.is_known(previous, &sent)) {
            return None;
        }
        self.sent.insert(gateway.clone(), sent);
        Some(self.suspects.clone())
    }

    fn is_known(&self, previous: &SentList, sent: &SentList) -> bool {
        let is_same = previous.number == sent.number && previous.connection == sent.connection;
        let is_resend_due = sent.at.since(previous.at) >= RESEND_INTERVAL;
        is_same && (self.suspects.is_empty() || !is_resend_due)
    }

    /// Records that the log holds the verdict on a request. Afterwards the log alone decides when
    /// it ends.
    pub(super) fn on_logged(&mut self, fingerprint: &RequestFingerprint) {
        self.unlogged.remove(fingerprint);
    }

    /// Updates the list that gateways receive.
    fn update_list(&mut self) {
        let suspected = self.tracker.suspected().iter();
        let suspected = suspected.chain(self.prompts.suspected());
        let suspects = Suspects {
            suspected: suspected.copied().collect(),
            refused: self.unlogged.keys().copied().collect(),
        };
        if suspects != self.suspects {
            self.suspects = suspects;
            self.number += 1;
        }
    }
}

impl Replica {
    /// Records which back ends answered requests.
    pub(super) fn record_answering_backends(&mut self, evidence: &[Evidence]) {
        for evidence in evidence.iter().filter(|evidence| evidence.answered > 0) {
            let tracker = &mut self.quarantining.tracker;
            tracker.answered(&evidence.backend, self.now);
            let prompts = &mut self.quarantining.prompts;
            prompts.answered(&evidence.backend, self.now);
        }
    }

    /// Quarantines the requests that are due for it, and releases those whose time has
    /// expired.
    pub(super) fn quarantine(&mut self) {
        let gateways = &self.gateways;
        let sent = &mut self.quarantining.sent;
        sent.retain(|gateway, _| gateways.is_known(gateway));
        let sent_evidence = &mut self.quarantining.sent_evidence;
        sent_evidence.prune(|gateway| gateways.is_known(gateway));
        if !self.node.has_applied_own_term() {
            return;
        }
        self.restore_suspects();
        self.sync_with_log();
        self.decide_verdicts();
        self.release_unlogged();
        if self.has_all_commands() {
            self.log_verdicts();
            self.release_expired();
            self.log_suspects();
        }
        self.quarantining.update_list();
    }

    fn decide_verdicts(&mut self) {
        self.decide_on_parts();
        for verdict in self.quarantining.tracker.decide(self.now) {
            self.add_unlogged(verdict.fingerprint, verdict.crashes);
            // It may be a set of parts that a gateway reported as refused by a previous leader.
            self.quarantining.prompts.refuse(verdict.fingerprint);
            self.effects.push(Effect::Quarantined(verdict));
        }
    }

    fn decide_on_parts(&mut self) {
        let PartDecision { refused, released } = self.quarantining.prompts.decide(self.now);
        for fingerprint in released {
            self.quarantining.unlogged.remove(&fingerprint);
            if self
                .state
                .configuration
                .quarantine
                .contains_key(&fingerprint)
            {
                self.propose_own(Command::ReleaseRequest(fingerprint));
            }
        }
        for verdict in refused {
            self.add_unlogged(verdict.set.fingerprint(), verdict.crashes);
            self.effects.push(Effect::PartsQuarantined(verdict));
        }
        let Quarantining {
            tracker, prompts, ..
        } = &mut self.quarantining;
        tracker.set_caused_by_parts(prompts.explained());
    }

    fn add_unlogged(&mut self, fingerprint: RequestFingerprint, crashes: usize) {
        let verdict = UnloggedVerdict {
            crashes: u32::try_from(crashes).unwrap_or(u32::MAX),
            decided_at: self.now,
            proposed_at: None,
        };
        self.quarantining.unlogged.insert(fingerprint, verdict);
    }

    /// Releases verdicts that the log has not taken in the time of a quarantine, and the oldest
    /// ones above [`MAX_UNLOGGED`].
    fn release_unlogged(&mut self) {
        let now = self.now;
        let Quarantining {
            tracker,
            prompts,
            unlogged,
            ..
        } = &mut self.quarantining;
        let is_expired =
            |verdict: &UnloggedVerdict| now.since(verdict.decided_at) >= QUARANTINE_DURATION;
        for (fingerprint, _) in unlogged.extract_if(.., |_, verdict| is_expired(verdict)) {
            tracker.release(&fingerprint);
            prompts.forgive(&fingerprint);
        }
        while unlogged.len() > MAX_UNLOGGED {
            let oldest = unlogged.iter().min_by_key(|(_, v)| v.decided_at);
            let Some(oldest) = oldest.map(|(id, _)| *id) else {
                return;
            };
            unlogged.remove(&oldest);
            tracker.release(&oldest);
            prompts.forgive(&oldest);
        }
    }

    /// Proposes the verdicts that the log lacks. A proposal can fail, or be lost with the
    /// entries of a term.
    fn log_verdicts(&mut self) {
        let now = self.now;
        let unlogged = &self.quarantining.unlogged;
        let due: Vec<(RequestFingerprint, u32)> = unlogged
            .iter()
            .filter(|(_, verdict)| verdict.is_proposal_due(now))
            .map(|(id, verdict)| (*id, verdict.crashes))
            .collect();
        for (fingerprint, crashes) in due {
            let command = Command::QuarantineRequest {
                fingerprint,
                crashes,
            };
            if self.propose_own(command).is_none() {
                return;
            }
            if let Some(verdict) = self.quarantining.unlogged.get_mut(&fingerprint) {
                verdict.proposed_at = Some(now);
            }
        }
    }

    /// Restores the previous leader's suspects from the log, once per term.
    fn restore_suspects(&mut self) {
        if std::mem::replace(&mut self.quarantining.has_restored, true) {
            return;
        }
        for (fingerprint, record) in &self.state.suspects {
            let suspected = SuspectedRequest {
                fingerprint: *fingerprint,
                engines: record.engines.clone(),
            };
            self.quarantining.tracker.restore(suspected, self.now);
        }
    }

    /// Proposes the suspected requests where they differ from those in the log.
    fn log_suspects(&mut self) {
        let Quarantining {
            tracker, logged_at, ..
        } = &self.quarantining;
        if self.now.since(*logged_at) < MIN_LOG_INTERVAL {
            return;
        }
        let logged = &self.state.suspects;
        let suspected: BTreeSet<RequestFingerprint> = tracker.suspected().iter().copied().collect();
        let mut changes: Vec<SuspectedRequest> = Vec::new();
        for fingerprint in &suspected {
            let engines = tracker.engines(fingerprint);
            if logged.get(fingerprint).map(|record| &record.engines) != Some(&engines) {
                let fingerprint = *fingerprint;
                changes.push(SuspectedRequest {
                    fingerprint,
                    engines,
                });
            }
        }
        let cleared = logged.keys().filter(|id| !suspected.contains(id));
        changes.extend(cleared.map(|fingerprint| SuspectedRequest {
            fingerprint: *fingerprint,
            engines: Vec::new(),
        }));
        if !changes.is_empty() {
            self.quarantining.logged_at = self.now;
            self.propose_own(Command::NoteSuspects(changes));
        }
    }

    /// Applies the quarantine in the log: verdicts of earlier leaders, and releases by
    /// operators.
    fn sync_with_log(&mut self) {
        let index = self.state.configuration.index;
        if self.quarantining.synced_index == index {
            return;
        }
        self.quarantining.synced_index = index;
        let logged = &self.state.configuration.quarantine;
        let Quarantining {
            tracker,
            prompts,
            unlogged,
            ..
        } = &mut self.quarantining;
        let is_released =
            |id: &RequestFingerprint| !logged.contains_key(id) && !unlogged.contains_key(id);
        let refused: BTreeSet<RequestFingerprint> =
            tracker.refused().chain(prompts.refused()).collect();
        for fingerprint in refused.into_iter().filter(is_released) {
            tracker.release(&fingerprint);
            prompts.forgive(&fingerprint);
        }
        for fingerprint in logged.keys() {
            tracker.refuse(*fingerprint);
            prompts.refuse(*fingerprint);
        }
    }

    fn release_expired(&mut self) {
        let logged = &self.state.configuration.quarantine;
        let expired = logged.iter().filter(|(_, record)| record.until <= self.now);
        let expired: Vec<RequestFingerprint> = expired.map(|(id, _)| *id).collect();
        for fingerprint in expired {
            self.propose_own(Command::ReleaseRequest(fingerprint));
        }
    }
}
