//! What gateways and the leader tell each other of limits.

use garnet_types::{BackendId, Millis};
use serde::{Deserialize, Serialize};

use crate::rate::RequestRate;

/// A permit may be used for so long after it was asked for, by the clock of the
/// gateway that asked: an answer of the leader and the request's own way out.
pub const PERMIT_LASTS: Millis = Millis(500);

/// What a back end said of its limit in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitWord {
    /// The back end.
    pub backend: BackendId,
    /// Which start of it.
    pub start: u64,
    /// The limit; `None` where the answer names none.
    pub rate: Option<RequestRate>,
    /// How long ago it surely had not said anything newer: since the answer came that
    /// named a limit, and since the request was sent whose answer named none.
    pub ago: Millis,
}

/// Words of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitWords {
    /// Rises with each message on a connection; the leader tells the last one that
    /// it has taken.
    pub number: u64,
    /// What was heard.
    pub words: Vec<LimitWord>,
}

/// A limit that all gateways are told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLimit {
    /// The back end.
    pub backend: BackendId,
    /// What it takes from all gateways together.
    pub rate: RequestRate,
}

/// All limits that the leader of a term knows.
#[derive(Debug, Clone, Copy)]
pub struct LimitList<'a> {
    /// The term.
    pub term: u64,
    /// Rises with each change of the list in the term.
    pub number: u64,
    /// Number of the last words of the gateway that it had taken.
    pub words_noted: u64,
    /// The limits.
    pub limits: &'a [ToldLimit],
}

/// A gateway has a request that one of these back ends could take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The gateway's name for the question.
    pub number: u64,
    /// The back ends; any of them will do.
    pub backends: Vec<BackendId>,
    /// Urgency of the request, 0 first.
    pub rank: u8,
}

/// The leader's answer to a [`PermitAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Copied from the question.
    pub number: u64,
    /// What is allowed.
    pub outcome: PermitOutcome,
}

/// What a gateway may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// Send one request, within [`PERMIT_LASTS`].
    Granted {
        /// Where to.
        backend: BackendId,
        /// Whether nobody has heard for a while what the back end takes.
        is_due: bool,
    },
    /// Send none.
    Refused {
        /// Until then none of the back ends has a permit for a request of this rank.
        wait: Millis,
        /// When this request's caller may come again: each one is told a time of
        /// its own.
        retry_after: Millis,
    },
}
