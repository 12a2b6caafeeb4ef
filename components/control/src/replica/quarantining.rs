//! The leader refuses requests under which engines end, at all gateways.
//!
//! Gateways are told of a verdict with the next answer to their watch, before
//! the log has it: a disk that is slow holds no verdict up. What the log has
//! outlives the leader.

use std::collections::{BTreeMap, BTreeSet};

use garnet_quarantine::{CrashTracker, RequestFingerprint, RunReport, SuspectedRequest, Suspects};
use garnet_types::{GatewayId, Millis};

use crate::command::Command;
use crate::effects::Effect;
use crate::messages::{ControlReply, Evidence};

use super::Replica;

/// A list that is not empty is told again after this time: an answer may be lost
/// where a link is bad, and its connection stays.
const TELL_AGAIN: Millis = Millis::from_secs(1);

/// Shortest time between two entries of the log about suspected requests.
const LOG_INTERVAL: Millis = Millis(200);

/// What the leader keeps of such requests. It can be lost at any time.
#[derive(Debug, Default)]
pub(super) struct Quarantining {
    tracker: CrashTracker,
    /// Verdicts of this term that the log may not have yet.
    proposed: BTreeSet<RequestFingerprint>,
    /// What gateways are told, and its number, which rises with each change.
    suspects: Suspects,
    number: u64,
    told: BTreeMap<GatewayId, Told>,
    /// Log index of the configuration whose quarantine the tracker knows.
    known_index: u64,
    /// Whether what a former leader knew was taken over.
    has_taken_over: bool,
    /// When suspects were put into the log last.
    logged_at: Millis,
}

/// What a gateway was told last.
#[derive(Debug, Clone, Copy)]
struct Told {
    number: u64,
    connection: u64,
    at: Millis,
}

impl Quarantining {
    /// The list for a gateway, where it may not know it.
    pub(super) fn news_for(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
        now: Millis,
    ) -> Option<Suspects> {
        let told = Told {
            number: self.number,
            connection,
            at: now,
        };
        let before = self.told.get(gateway);
        if before.is_some_and(|before| self.is_known(before, &told)) {
            return None;
        }
        self.told.insert(gateway.clone(), told);
        Some(self.suspects.clone())
    }

    fn is_known(&self, before: &Told, told: &Told) -> bool {
        let is_same = before.number == told.number && before.connection == told.connection;
        let is_due = told.at.since(before.at) >= TELL_AGAIN;
        is_same && (self.suspects.is_empty() || !is_due)
    }

    /// Works out what gateways are told.
    fn list(&mut self) {
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
    /// Takes what a gateway saw of runs that ended with their engine.
    pub(super) fn take_runs(&mut self, report: &RunReport) -> ControlReply {
        self.quarantining.tracker.apply_report(report, self.now);
        ControlReply::RunsNoted {
            through: report.through,
        }
    }

    /// Notes back ends that answered.
    pub(super) fn note_living(&mut self, evidence: &[Evidence]) {
        for evidence in evidence.iter().filter(|evidence| evidence.answered > 0) {
            let tracker = &mut self.quarantining.tracker;
            tracker.answered(&evidence.backend, self.now);
        }
    }

    /// Refuses what has to be refused, and releases what was refused for long
    /// enough.
    pub(super) fn quarantine(&mut self) {
        let gateways = &self.gateways;
        let told = &mut self.quarantining.told;
        told.retain(|gateway, _| gateways.is_known(gateway));
        if !self.node.has_applied_own_term() || !self.has_all_commands() {
            return;
        }
        self.take_over();
        self.follow_log();
        for verdict in self.quarantining.tracker.decide(self.now) {
            self.quarantining.proposed.insert(verdict.fingerprint);
            self.effects.push(Effect::Quarantined(verdict));
            self.propose_own(Command::QuarantineRequest {
                fingerprint: verdict.fingerprint,
                crashes: u32::try_from(verdict.crashes).unwrap_or(u32::MAX),
            });
        }
        self.release_old();
        self.quarantining.list();
        self.log_suspects();
    }

    /// Goes on from what the log says of suspected requests.
    fn take_over(&mut self) {
        if std::mem::replace(&mut self.quarantining.has_taken_over, true) {
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

    /// Puts into the log which requests are suspected, where it says otherwise.
    fn log_suspects(&mut self) {
        let Quarantining {
            tracker, logged_at, ..
        } = &self.quarantining;
        if self.now.since(*logged_at) < LOG_INTERVAL {
            return;
        }
        let logged = &self.state.suspects;
        let suspected: BTreeSet<RequestFingerprint> = tracker.suspected().iter().copied().collect();
        let mut news: Vec<SuspectedRequest> = Vec::new();
        for fingerprint in &suspected {
            let engines = tracker.engines(fingerprint);
            if logged.get(fingerprint).map(|record| &record.engines) != Some(&engines) {
                let fingerprint = *fingerprint;
                news.push(SuspectedRequest {
                    fingerprint,
                    engines,
                });
            }
        }
        let cleared = logged.keys().filter(|id| !suspected.contains(id));
        news.extend(cleared.map(|fingerprint| SuspectedRequest {
            fingerprint: *fingerprint,
            engines: Vec::new(),
        }));
        if !news.is_empty() {
            self.quarantining.logged_at = self.now;
            self.propose_own(Command::NoteSuspects(news));
        }
    }

    /// Takes over what the log says: verdicts of a former leader, and what an
    /// operator has released.
    fn follow_log(&mut self) {
        let index = self.state.configuration.index;
        if self.quarantining.known_index == index {
            return;
        }
        self.quarantining.known_index = index;
        let logged = &self.state.configuration.quarantine;
        let Quarantining {
            tracker, proposed, ..
        } = &mut self.quarantining;
        let arrived = proposed.extract_if(.., |id| logged.contains_key(id));
        let _arrived = arrived.count();
        let released = |id: &RequestFingerprint| !logged.contains_key(id) && !proposed.contains(id);
        let gone: Vec<RequestFingerprint> = tracker.refused().filter(|id| released(id)).collect();
        for fingerprint in gone {
            tracker.release(&fingerprint);
        }
        for fingerprint in logged.keys() {
            tracker.refuse(*fingerprint);
        }
    }

    fn release_old(&mut self) {
        let logged = &self.state.configuration.quarantine;
        let over = logged.iter().filter(|(_, record)| record.until <= self.now);
        let over: Vec<RequestFingerprint> = over.map(|(id, _)| *id).collect();
        for fingerprint in over {
            self.propose_own(Command::ReleaseRequest(fingerprint));
        }
    }
}
