//! Gateways that are cut off from all back ends while callers, replicas and the other gateways
//! still reach them.

use garnet_gateway::Answer;
use garnet_types::{Millis, RequestId};

use crate::checker::Invariant;
use crate::message::Host;

use super::World;

/// Calls are judged from this time after the start of a cut, the `contact-ms` of the users.
const CONTACT_TIME: Millis = Millis::from_secs(3);
/// Number of failed calls at gateways that are cut off which is always allowed, ...
const ALLOWED_FAILURES: u64 = 10;
/// ... and one for so many calls at all gateways.
const CALLS_PER_ALLOWED_FAILURE: u64 = 50;

/// One cut.
#[derive(Debug)]
struct PathCut {
    gateway: usize,
    from: Millis,
    until: Millis,
}

/// How calls ended.
#[derive(Debug, Default)]
struct Served {
    calls: u64,
    served: u64,
}

impl Served {
    fn add(&mut self, is_served: bool) {
        self.calls += 1;
        self.served += u64::from(is_served);
    }
}

/// All cuts of a run, and the calls that were sent during them.
#[derive(Debug, Default)]
pub(super) struct PathCuts {
    cuts: Vec<PathCut>,
    cut_off: Served,
    others: Served,
}

impl PathCuts {
    fn note(&mut self, gateway: usize, sent_at: Millis, is_served: bool) {
        let is_judged = |cut: &&PathCut| cut.from + CONTACT_TIME <= sent_at && sent_at < cut.until;
        let mut judged = self.cuts.iter().filter(is_judged).peekable();
        if judged.peek().is_none() {
            return;
        }
        if judged.any(|cut| cut.gateway == gateway) {
            self.cut_off.add(is_served);
        } else {
            self.others.add(is_served);
        }
    }

    /// Whether gateways that were cut off served two thirds as often as the others, or failed
    /// few calls.
    fn holds(&self) -> bool {
        let PathCuts {
            cut_off, others, ..
        } = self;
        let failures = cut_off.calls - cut_off.served;
        let all = cut_off.calls + others.calls;
        let allowed = ALLOWED_FAILURES + all / CALLS_PER_ALLOWED_FAILURE;
        // The shares are compared without a division.
        let is_worse = 3 * cut_off.served * others.calls < 2 * others.served * cut_off.calls;
        !is_worse || failures <= allowed
    }
}

impl World {
    pub(super) fn begin_path_cut(&mut self, host: Host, until: Millis) {
        self.network.cut_from_back_ends(host);
        if let Host::Gateway(gateway) = host {
            let from = self.now;
            self.path_cuts.cuts.push(PathCut {
                gateway,
                from,
                until,
            });
        }
    }

    /// Counts the end of a call; `answer` is `None` if its connection ended.
    pub(super) fn note_call_end(&mut self, request: RequestId, answer: Option<&Answer>) {
        if self.path_cuts.cuts.is_empty() {
            return;
        }
        if let Some((gateway, sent_at)) = self.callers.sent_to(request) {
            let is_served = answer.is_some_and(|answer| !matches!(answer, Answer::Refused(_)));
            self.path_cuts.note(gateway, sent_at, is_served);
        }
    }

    pub(super) fn check_path_cuts(&mut self) {
        let holds = self.path_cuts.holds();
        let PathCuts {
            cut_off, others, ..
        } = &self.path_cuts;
        let detail = format!(
            "gateways that were cut off from all back ends served {} of {} calls, the others {} of {}",
            cut_off.served, cut_off.calls, others.served, others.calls
        );
        self.checker
            .check(Invariant::CutGatewaysServe, holds, self.now, || detail);
    }
}
