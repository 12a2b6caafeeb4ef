//! Decides what the end of an attempt means for its request.

use crate::work::Work;

/// Number of back ends that may reject a request before it is given up.
const MAX_REJECTIONS: u32 = 3;
/// Number of back ends that may be unreachable before a request is given up.
const MAX_UNREACHABLE: u32 = 4;

/// Why a back end did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The back end has no free capacity.
    Full,
    /// Another back end listens at the address now, or the back end has another role.
    Misdirected,
    /// The KV cache from which the request was to resume is not available.
    CacheGone,
    /// The back end rejects the request for another reason.
    Rejected,
}

impl NotRunReason {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunReason::Full => "full",
            NotRunReason::Misdirected => "misdirected",
            NotRunReason::CacheGone => "cache_gone",
            NotRunReason::Rejected => "refused",
        }
    }
}

/// How an attempt ended without an answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request can have arrived.
    Unsent,
    /// The back end reported that it did not run the request.
    NotRun(NotRunReason),
    /// The request may have run, and no complete answer arrived.
    Broken,
    /// The request ran and failed, as the back end's own answer reports.
    Failed,
}

impl AttemptEnd {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptEnd::Unsent => "unsent",
            AttemptEnd::NotRun(reason) => reason.as_str(),
            AttemptEnd::Broken => "broken",
            AttemptEnd::Failed => "failed",
        }
    }
}

/// The attempts of a request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Attempts that ran or may have run.
    pub ran: u32,
    /// Attempts that a back end rejected.
    pub rejected: u32,
    /// Attempts that did not reach their back end.
    pub unreachable: u32,
    /// Attempts whose back end is silent, and which stay open during the next attempt.
    pub silent: u32,
}

impl Progress {
    /// Counts the end of an attempt.
    pub fn note(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::Unsent => self.unreachable += 1,
            AttemptEnd::NotRun(_) => self.rejected += 1,
            AttemptEnd::Broken | AttemptEnd::Failed => self.ran += 1,
        }
    }

    /// Counts an attempt whose back end is silent, and which stays open while another back
    /// end is tried.
    pub fn silent_begun(&mut self) {
        self.silent += 1;
    }

    /// Records that a silent attempt is the one that answers the request again: its back
    /// end sent something, or no other back end was found.
    pub fn silent_resumed(&mut self) {
        self.silent = self.silent.saturating_sub(1);
    }

    /// Records that a silent attempt ended.
    pub fn silent_ended(&mut self) {
        self.silent_resumed();
        self.ran += 1;
    }

    /// Whether the request has certainly not run.
    pub fn surely_not_run(&self) -> bool {
        self.ran == 0 && self.silent == 0
    }

    /// What giving up the request now tells the caller.
    pub fn given_up(&self) -> GivenUp {
        if self.surely_not_run() {
            GivenUp::NotRun
        } else {
            GivenUp::InDoubt
        }
    }

    /// Whether a further attempt would be a repeat: a back end was reached before.
    pub fn has_arrived(&self) -> bool {
        self.ran + self.rejected + self.silent > 0
    }
}

/// What a caller is told about a request that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GivenUp {
    /// The request has not run and will not run: the caller may retry it.
    NotRun,
    /// The request may have run.
    InDoubt,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextMove {
    /// Try another back end. A `repeat` needs room in the retry budget.
    TryAnother {
        /// Whether a back end was reached before.
        repeat: bool,
    },
    /// Pass the back end's own failure on to the caller.
    PassOn,
    /// Give up the request.
    GiveUp(GivenUp),
}

/// Decides what to do after an attempt that ended with `end`, which `progress` already
/// counts.
///
/// Invariant: work that may run at most once is retried only if all earlier attempts have
/// certainly not run.
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
