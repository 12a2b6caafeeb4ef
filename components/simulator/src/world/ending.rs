//! The checks at the end of a run, and its report.

use std::collections::BTreeSet;

use garnet_types::BackendId;

use crate::callers::Callers;
use crate::checker::Invariant;
use crate::message::Host;
use crate::operators::policy_revision;
use crate::scenario::Report;

use super::World;

impl World {
    pub(super) fn final_checks(&mut self) {
        let now = self.now;
        let leader = self.leader();
        self.checker
            .check(Invariant::Recovers, leader.is_some(), now, || {
                "no leader at the end".to_owned()
            });
        self.check_level();
        self.check_path_cuts();
        let open = self.callers.open();
        self.checker.check(Invariant::Recovers, open == 0, now, || {
            format!("{open} requests without a final answer")
        });
        let ready: BTreeSet<usize> = (0..self.gateways.len())
            .filter(|place| self.is_gateway_ready(*place))
            .collect();
        let all_ready = ready.len() == self.gateways.len();
        self.checker.check(Invariant::Recovers, all_ready, now, || {
            format!("only gateways {ready:?} take work at the end")
        });
        let Some(running) = leader.and_then(|place| self.controls[place].running.as_ref()) else {
            return;
        };
        let configuration = running.replica.state().configuration.clone();
        if let Callers::Checking(workload) = &self.callers {
            for session in workload.sessions.keys() {
                let kept = configuration.sessions.contains_key(session);
                self.checker.check(Invariant::SessionsStay, kept, now, || {
                    format!("session {session} is gone at the end")
                });
            }
        }
        let revision = policy_revision(&configuration);
        let accepted = self.operators.highest_policy_revision();
        self.checker
            .check(Invariant::NeverReverts, revision >= accepted, now, || {
                format!("policy revision {revision}, accepted was {accepted}")
            });
        let repaired = self.operators.repairs.is_empty();
        self.checker.check(Invariant::Recovers, repaired, now, || {
            "a lost replica was not replaced".to_owned()
        });
        let unsettled: Vec<&BackendId> = configuration
            .backends
            .iter()
            .filter(|(_, record)| record.order.is_some())
            .map(|(id, _)| id)
            .collect();
        self.checker
            .check(Invariant::Recovers, unsettled.is_empty(), now, || {
                format!("orders of {unsettled:?} are not settled at the end")
            });
    }

    pub(super) fn is_gateway_ready(&self, place: usize) -> bool {
        let clock = self.clock(Host::Gateway(place));
        let gateway = self.gateways[place].gateway.as_ref();
        gateway.is_some_and(|gateway| gateway.is_ready(clock))
    }

    pub(super) fn report(self) -> Report {
        let counts = self.callers.counts();
        let refused = counts
            .refused
            .iter()
            .map(|(code, count)| (code.as_str().to_owned(), *count))
            .collect();
        Report {
            seed: self.scenario.seed,
            violations: self.checker.violations,
            checks: self.checker.checks,
            struck: self.struck,
            faults: self.faults,
            timeline: self.timeline.into_entries(),
            simulated_ms: self.now.0,
            sent: counts.sent,
            whole: counts.whole,
            refused,
            reasons: counts.reasons.clone(),
            disconnected: counts.disconnected,
            accepted: self.operators.accepted,
            conflicts: self.operators.conflicts,
            elections: self.elections,
            last_leader: self.last_leader,
            role_changes: self.role_changes,
            leaderless_ms: self.leaderless_ms,
            mix: match &self.callers {
                Callers::Checking(_) => None,
                Callers::Mix(traffic) => Some(traffic.report()),
            },
            in_force_ms: self.operators.in_force_ms,
        }
    }
}
