//! The leader's side of the quarantine: requests that crash engines are refused by all
//! gateways.
//!
//! Gateways receive a verdict with the next answer to their watch, before it is in the log,
//! so that a slow disk delays no verdict. What the log holds outlives the leader.

use std::collections::{BTreeMap, BTreeSet};

use garnet_quarantine::{CrashTracker, RequestFingerprint, RunReport, SuspectedRequest, Suspects};
use garnet_types::{GatewayId, Millis};

use crate::command::Command;
use crate::effects::Effect;
use crate::messages::{ControlReply, Evidence};

use super::Replica;

/// A list that is not empty is sent again after this time: an answer may be lost on a bad
/// link while its connection stays open.
const RESEND_INTERVAL: Millis = Millis::from_secs(1);

/// Minimum time between two log entries about suspected requests.
const MIN_LOG_INTERVAL: Millis = Millis(200);

/// The leader's volatile state of suspected requests. It can be lost at any time.
#[derive(Debug, Default)]
pub(super) struct Quarantining {
    tracker: CrashTracker,
    /// Verdicts of this term that the log may not hold yet.
    proposed: BTreeSet<RequestFingerprint>,
    /// The list that gateways receive.
    suspects: Suspects,
    /// Number of the list, which rises with each change.
    number: u64,
    sent: BTreeMap<GatewayId, SentList>,
    /// Log index of the configuration with which the tracker was last synchronized.
    synced_index: u64,
    /// Whether the previous leader's suspects were restored from the log.
    has_restored: bool,
    /// When suspects were last proposed to the log.
    logged_at: Millis,
}

/// The list that a gateway was last sent.
#[derive(Debug, Clone, Copy)]
struct SentList {
    number: u64,
    connection: u64,
    at: Millis,
}

impl Quarantining {
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

    /// Updates the list that gateways receive.
    fn update_list(&mut self) {
        let suspects = Suspects {
            suspected: self.tracker.suspected().to_vec(),
            refused: self.proposed.iter().copied().collect(),
        };
        if suspects != self.suspects {
            self.suspects = suspects;
            self.number += 1;
        }
    }
}

impl Replica {
    /// Applies a gateway's report of runs that ended with their engine.
    pub(super) fn handle_run_report(&mut self, report: &RunReport) -> ControlReply {
        self.quarantining.tracker.apply_report(report, self.now);
        ControlReply::RunsNoted {
            through: report.through,
        }
    }

    /// Records which back ends answered requests.
    pub(super) fn record_answering_backends(&mut self, evidence: &[Evidence]) {
        for evidence in evidence.iter().filter(|evidence| evidence.answered > 0) {
            let tracker = &mut self.quarantining.tracker;
            tracker.answered(&evidence.backend, self.now);
        }
    }

    /// Quarantines the requests that are due for it, and releases those whose time has
    /// expired.
    pub(super) fn quarantine(&mut self) {
        let gateways = &self.gateways;
        let sent = &mut self.quarantining.sent;
        sent.retain(|gateway, _| gateways.is_known(gateway));
        if !self.node.has_applied_own_term() || !self.has_all_commands() {
            return;
        }
        self.restore_suspects();
        self.sync_with_log();
        for verdict in self.quarantining.tracker.decide(self.now) {
            self.quarantining.proposed.insert(verdict.fingerprint);
            self.effects.push(Effect::Quarantined(verdict));
            self.propose_own(Command::QuarantineRequest {
                fingerprint: verdict.fingerprint,
                crashes: u32::try_from(verdict.crashes).unwrap_or(u32::MAX),
            });
        }
        self.release_expired();
        self.quarantining.update_list();
        self.log_suspects();
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
            tracker, proposed, ..
        } = &mut self.quarantining;
        let now_logged = proposed.extract_if(.., |id| logged.contains_key(id));
        // The entries are removed as the iterator is consumed.
        let _count = now_logged.count();
        let is_released =
            |id: &RequestFingerprint| !logged.contains_key(id) && !proposed.contains(id);
        let to_release: Vec<RequestFingerprint> =
            tracker.refused().filter(|id| is_released(id)).collect();
        for fingerprint in to_release {
            tracker.release(&fingerprint);
        }
        for fingerprint in logged.keys() {
            tracker.refuse(*fingerprint);
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
