//! What gateways and the leader say to each other.

use garnet_limits::{LimitEntry, LimitList, LimitReports, PermitAnswer, PermitRequest};
use garnet_quarantine::{RunReport, Suspects};
use garnet_types::{
    BackendId, GatewayId, Millis, ModelId, PrefixId, RecordedResponse, ReplicaId, ServiceId,
};
use serde::{Deserialize, Serialize};

use crate::answer::ClaimAnswer;
use crate::command::ClaimCommand;
use crate::configuration::{Configuration, ConfigurationChange};
use crate::configuration_transfer::{ConfigurationPart, PartRequest};
use crate::load_digest::{GatewayDigest, MembersHash};
use crate::priority_counts::PriorityCounts;
use crate::shared::Shared;
use crate::usage::{UsageReceipt, UsageReport};

/// What a gateway saw offered for one pool since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolMix {
    /// Service of the pool.
    pub service: ServiceId,
    /// Model of the pool.
    pub model: ModelId,
    /// Requests.
    pub requests: u64,
    /// Of these, requests whose prompt takes an engine longer than their text.
    pub prompt_bound: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens wanted.
    pub output_tokens: u64,
}

/// Work of one gateway, or of several, that a back end has yet to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// The back end.
    pub backend: BackendId,
    /// Requests under way.
    pub requests: u64,
    /// Prompt tokens that it has yet to prefill.
    pub uncached: PriorityCounts,
    /// Tokens of KV cache that these requests hold, or will hold.
    pub held_tokens: u64,
}

/// How requests of one gateway ended at a back end since it told last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The back end.
    pub backend: BackendId,
    /// Requests that it answered.
    pub answered: u32,
    /// Requests that it failed, broke off or was silent on.
    pub failed: u32,
    /// Requests that could not be sent: nothing listens there.
    pub unreachable: u32,
}

/// An engine holds a prompt's prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCopy {
    /// The prefix.
    pub prefix: PrefixId,
    /// The engine.
    pub backend: BackendId,
}

/// A copy whose engine is told by its place in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionedCopy {
    /// The prefix.
    pub prefix: PrefixId,
    /// Place of the engine.
    pub place: u16,
}

/// Copies that other gateways told of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyUpdates {
    /// The back ends whose places are named.
    pub members: MembersHash,
    /// The copies, the oldest first.
    pub copies: Vec<PositionedCopy>,
}

/// A claim, its release or its result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Ask for the key.
    Claim(ClaimCommand),
    /// Give it back.
    Release(ClaimCommand),
    /// Keep the answer.
    Record {
        /// The claim.
        claim: ClaimCommand,
        /// The answer.
        response: RecordedResponse,
    },
}

impl ClaimRequest {
    /// The claim that the request is about.
    pub fn claim(&self) -> &ClaimCommand {
        match self {
            ClaimRequest::Claim(claim) | ClaimRequest::Release(claim) => claim,
            ClaimRequest::Record { claim, .. } => claim,
        }
    }
}

/// From a gateway to a control replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GatewayRequest {
    /// Heartbeat: asks for changes and for a lease on the configuration.
    Watch {
        /// Who asks.
        gateway: GatewayId,
        /// Configuration index that the gateway works by.
        configuration_index: u64,
        /// Gateway's clock when it asked.
        sent_at: Millis,
        /// Index of the group's membership that it knows.
        group_index: u64,
        /// What it saw offered.
        mix: Vec<PoolMix>,
        /// What it has under way, for the other gateways to know.
        backlogs: Vec<Backlog>,
        /// How its requests ended, for the other gateways to know.
        evidence: Vec<Evidence>,
        /// Copies that it learned of since it told last.
        copies: Vec<PromptCopy>,
    },
    /// About a claim.
    Claim(ClaimRequest),
    /// Requests that began to run, by tenant.
    Usage(UsageReport),
    /// Runs that ended with their engine, and what became of such requests.
    Runs(RunReport),
    /// Asks for a part of the whole configuration.
    Part(PartRequest),
    /// Limits that answers of back ends named.
    LimitReports {
        /// The gateway that got the answers.
        gateway: GatewayId,
        /// The reports.
        reports: LimitReports,
    },
    /// Asks for a permit to send a request to a back end that has a limit.
    Permit(PermitRequest),
}

/// A replica asks to be a member of the group. It repeats this until a leader
/// sends it the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Its identity, bound to its disk.
    pub id: ReplicaId,
    /// Where peers and gateways reach it.
    pub peer_address: String,
    /// Where operators reach it.
    pub admin_address: String,
}

/// Who the control group is, for gateways that must find it again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// Log index of the membership.
    pub index: u64,
    /// Peer addresses of all members.
    pub addresses: Vec<String>,
}

/// Changes for a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchUpdate {
    /// It is up to date.
    Current,
    /// Changes since the index that it named.
    Changes {
        /// Index that they build on.
        from: u64,
        /// Index that they lead to.
        to: u64,
        /// The changes, each with its index.
        changes: Shared<Vec<(u64, ConfigurationChange)>>,
    },
    /// Everything anew.
    Snapshot(Shared<Configuration>),
    /// Everything anew, too large for one message: its parts are to be asked for.
    Parts {
        /// Index of the configuration.
        index: u64,
    },
    /// All that is new was sent on this connection already and is yet to arrive.
    UnderWay,
}

impl WatchUpdate {
    /// About how many changes it brings.
    pub fn changes(&self) -> u64 {
        let changes = match self {
            WatchUpdate::Current | WatchUpdate::UnderWay | WatchUpdate::Parts { .. } => 0,
            WatchUpdate::Changes { changes, .. } => changes.len(),
            WatchUpdate::Snapshot(whole) => {
                whole.sessions.len() + whole.policies.len() + whole.backends.len()
            }
        };
        changes as u64
    }
}

/// The limits of all back ends that have one, as the leader knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Term of the leader.
    pub term: u64,
    /// Rises with each change of the list in the term.
    pub number: u64,
    /// Number of the last [`LimitReports`] of the gateway that is applied.
    pub reports_taken: u64,
    /// The limits.
    pub limits: Shared<Vec<LimitEntry>>,
}

impl LimitUpdate {
    /// The list as gateways take it.
    pub fn list(&self) -> LimitList<'_> {
        LimitList {
            term: self.term,
            number: self.number,
            reports_taken: self.reports_taken,
            limits: &self.limits,
        }
    }
}

/// From a control replica to a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Answer to a watch: the configuration is in force, and the lease runs
    /// from `sent_at`.
    Watch {
        /// Copied from the question.
        sent_at: Millis,
        /// What changed.
        update: WatchUpdate,
        /// The group, when it is not the one that the gateway knows.
        group: Option<GroupView>,
        /// Gateways that hold a lease: budgets are shared among them.
        gateways: u64,
        /// Load and health of all back ends; `None` leaves what was told before.
        digest: Option<GatewayDigest>,
        /// Copies that other gateways told of since this one heard last.
        copies: CopyUpdates,
        /// Requests under which engines ended; `None` leaves what was told before.
        suspects: Option<Suspects>,
    },
    /// Answer about a claim.
    Claim {
        /// The claim.
        claim: ClaimCommand,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Answer to a report of usage.
    Usage(UsageReceipt),
    /// The leader has taken the runs up to this number.
    RunsNoted {
        /// Number of the newest one.
        through: u64,
    },
    /// A part of the whole configuration; `None` where it is not to be had any
    /// more.
    Part(Option<ConfigurationPart>),
    /// The limits of back ends; follows the answer to a watch if the gateway may not have
    /// the newest list.
    Limits(LimitUpdate),
    /// Answer to a question for a permit.
    Permit(PermitAnswer),
    /// Ask the leader; its address, as far as known.
    NotLeader {
        /// Address of the leader for gateways.
        leader: Option<String>,
        /// For a gateway that knows nothing yet, while no leader is known: the
        /// newest configuration that this replica surely knows of.
        last_known: Option<Shared<Configuration>>,
    },
}
