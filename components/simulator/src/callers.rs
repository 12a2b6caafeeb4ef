//! Who sends requests: callers who try everything and check every answer, or
//! the measured mix of an experiment.

use std::collections::BTreeMap;

use garnet_gateway::{Answer, Call};
use garnet_types::{Millis, OutcomeCode, RequestId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::checker::Checker;
use crate::mix::MixTraffic;
use crate::workload::Workload;

/// A call that is to be sent now.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) gateway: usize,
    pub(crate) call: Call,
}

/// Counts of the callers.
#[derive(Debug, Default, Clone)]
pub(crate) struct CallerCounts {
    pub(crate) sent: u64,
    pub(crate) whole: u64,
    pub(crate) refused: BTreeMap<OutcomeCode, u64>,
    /// The same by the sentence that callers read.
    pub(crate) reasons: BTreeMap<String, u64>,
    pub(crate) disconnected: u64,
}

/// The callers of a run.
pub(crate) enum Callers {
    /// They try everything.
    Checking(Box<Workload>),
    /// They ask as the mix demands.
    Mix(Box<MixTraffic>),
}

impl Callers {
    /// Requests that arrive now, and when to look again.
    pub(crate) fn arrive(
        &mut self,
        random: &mut Pcg64Mcg,
        now: Millis,
    ) -> (Vec<Outgoing>, Option<Millis>) {
        match self {
            Callers::Checking(workload) => {
                let outgoing = workload.plan(random, now);
                let pause = Millis(random.random_range(20..180));
                (outgoing, Some(now + pause))
            }
            Callers::Mix(traffic) => traffic.arrive(now),
        }
    }

    /// Requests that are sent again now.
    pub(crate) fn due_again(&mut self, random: &mut Pcg64Mcg, now: Millis) -> Vec<Outgoing> {
        match self {
            Callers::Checking(workload) => workload.due_again(random, now),
            Callers::Mix(traffic) => traffic.due_again(now),
        }
    }

    /// Sendings whose callers gave up waiting.
    pub(crate) fn overdue(&mut self, now: Millis) -> Vec<RequestId> {
        match self {
            Callers::Checking(workload) => workload.overdue(now),
            Callers::Mix(traffic) => traffic.overdue(now),
        }
    }

    /// Sendings without a final answer.
    pub(crate) fn open(&self) -> usize {
        match self {
            Callers::Checking(workload) => workload.open(),
            Callers::Mix(traffic) => traffic.open(),
        }
    }

    /// Takes tokens of a stream.
    pub(crate) fn tokens(
        &mut self,
        checker: &mut Checker,
        request: RequestId,
        first: u64,
        tokens: Vec<String>,
        now: Millis,
    ) {
        match self {
            Callers::Checking(workload) => workload.tokens(checker, request, first, tokens, now),
            Callers::Mix(traffic) => traffic.tokens(checker, request, first, tokens, now),
        }
    }

    /// Takes a final answer; see [`Workload::answer`].
    pub(crate) fn answer(
        &mut self,
        checker: &mut Checker,
        request: RequestId,
        answer: &Answer,
        steady: bool,
        now: Millis,
    ) {
        match self {
            Callers::Checking(workload) => workload.answer(checker, request, answer, steady, now),
            Callers::Mix(traffic) => traffic.answer(checker, request, answer, now),
        }
    }

    /// A connection ended without an answer.
    pub(crate) fn disconnected(&mut self, request: RequestId, now: Millis) {
        match self {
            Callers::Checking(workload) => workload.disconnected(request, now),
            Callers::Mix(traffic) => traffic.disconnected(request, now),
        }
    }

    /// A gateway could not be reached at all.
    pub(crate) fn unreachable(&mut self, request: RequestId, now: Millis) {
        match self {
            Callers::Checking(workload) => workload.unreachable(request, now),
            Callers::Mix(traffic) => traffic.disconnected(request, now),
        }
    }

    /// Key of a sending, as its caller gave it.
    pub(crate) fn key_of(&self, request: RequestId) -> Option<String> {
        match self {
            Callers::Checking(workload) => workload.key_of(request),
            Callers::Mix(_) => None,
        }
    }

    /// The gateway that a sending went to and when.
    pub(crate) fn sent_to(&self, request: RequestId) -> Option<(usize, Millis)> {
        match self {
            Callers::Checking(workload) => workload.sent_to(request),
            Callers::Mix(_) => None,
        }
    }

    /// The counts so far.
    pub(crate) fn counts(&self) -> &CallerCounts {
        match self {
            Callers::Checking(workload) => &workload.counts,
            Callers::Mix(traffic) => &traffic.counts,
        }
    }
}
