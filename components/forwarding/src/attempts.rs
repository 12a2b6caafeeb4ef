//! What the end of an attempt means for the request.

use crate::work::Work;

/// Back ends that may turn a request away before it is given up.
const MAX_REJECTIONS: u32 = 3;
/// Back ends that may be found unreachable before it is given up.
const MAX_UNREACHABLE: u32 = 4;

/// Why a back end did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// It has no room.
    Full,
    /// Another back end stands at its address now, or it has another role.
    Misdirected,
    /// The KV cache that the request was to go on from can't be had.
    CacheGone,
    /// It refuses the request for another reason.
    Refused,
}

impl NotRunReason {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunReason::Full => "full",
            NotRunReason::Misdirected => "misdirected",
            NotRunReason::CacheGone => "cache_gone",
            NotRunReason::Refused => "refused",
        }
    }
}

/// How an attempt ended without an answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request can have arrived.
    Unsent,
    /// The back end said that it did not run it.
    NotRun(NotRunReason),
    /// It may have run, and no whole answer came.
    Broken,
    /// It ran and failed; the back end's own answer says so.
    Failed,
}

impl AttemptEnd {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptEnd::Unsent => "unsent",
            AttemptEnd::NotRun(reason) => reason.as_str(),
            AttemptEnd::Broken => "broken",
            AttemptEnd::Failed => "failed",
        }
    }
}

/// What became of a request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Attempts that ran or may have run.
    pub ran: u32,
    /// Attempts that a back end turned away.
    pub rejected: u32,
    /// Attempts that did not reach their back end.
    pub unreachable: u32,
    /// Attempts whose back end is silent, and which are kept beside the next one.
    pub silent: u32,
}

impl Progress {
    /// Notes the end of an attempt.
    pub fn note(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::Unsent => self.unreachable += 1,
            AttemptEnd::NotRun(_) => self.rejected += 1,
            AttemptEnd::Broken | AttemptEnd::Failed => self.ran += 1,
        }
    }

    /// Notes that a back end is silent and another one is asked beside it.
    pub fn note_silent(&mut self) {
        self.silent += 1;
    }

    /// Notes that a back end that was kept is the one to answer again.
    pub fn silent_resumed(&mut self) {
        self.silent = self.silent.saturating_sub(1);
    }

    /// Notes that a back end that was kept is out of it.
    pub fn silent_ended(&mut self) {
        self.silent_resumed();
        self.ran += 1;
    }

    /// Whether the request surely has not run.
    pub fn surely_not_run(&self) -> bool {
        self.ran == 0 && self.silent == 0
    }

    /// What giving the request up means now.
    pub fn given_up(&self) -> GivenUp {
        if self.surely_not_run() {
            GivenUp::NotRun
        } else {
            GivenUp::InDoubt
        }
    }

    /// Whether another arrival would be a repeat.
    pub fn has_arrived(&self) -> bool {
        self.ran + self.rejected + self.silent > 0
    }
}

/// Why a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GivenUp {
    /// It has not run and will not: the caller may come again.
    NotRun,
    /// It may have run.
    InDoubt,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextMove {
    /// Try another back end. `repeat` attempts need room in the budget.
    TryAnother {
        /// Whether a back end was reached before.
        repeat: bool,
    },
    /// Pass the back end's own failure on.
    PassOn,
    /// Give it up.
    GiveUp(GivenUp),
}

/// Decides after an attempt that ended with `end`; `progress` counts it.
///
/// Invariant: work that may run at most once is tried again only when every
/// attempt before surely did not run.
pub fn next_move(work: &Work, progress: &Progress, end: AttemptEnd) -> NextMove {
    let repeat = progress.has_arrived();
    let may_retry = progress.surely_not_run() || work.kind.may_repeat();
    let within_bounds = progress.ran + progress.silent < work.max_attempts
        && progress.rejected < MAX_REJECTIONS
        && progress.unreachable < MAX_UNREACHABLE;
    if may_retry && within_bounds {
        return NextMove::TryAnother { repeat };
    }
    if end == AttemptEnd::Failed {
        return NextMove::PassOn;
    }
    NextMove::GiveUp(progress.given_up())
}
