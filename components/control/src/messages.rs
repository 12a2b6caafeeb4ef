//! Messages between gateways and the leader.

use std::net::SocketAddr;

use garnet_limits::{LimitEntry, LimitList, LimitReports, PermitAnswer, PermitRequest};
use garnet_quarantine::{PromptEvidence, PromptReport, RunReport, Suspects};
use garnet_types::{
    BackendId, BuildId, EncodingVersion, GatewayId, Millis, ModelId, PrefixId, RecordedResponse,
    ReplicaId, ServiceId,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::ClaimAnswer;
use crate::command::ClaimCommand;
use crate::configuration::{Configuration, ConfigurationChange};
use crate::configuration_transfer::{ConfigurationPart, PartRequest};
use crate::load_digest::{BackendListHash, GatewayDigest};
use crate::priority_counts::PriorityCounts;
use crate::shared::Shared;
use crate::usage::{UsageReceipt, UsageReport};

/// Load that a gateway received for one pool since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolMix {
    /// Service of the pool.
    pub service: ServiceId,
    /// Model of the pool.
    pub model: ModelId,
    /// Requests.
    pub requests: u64,
    /// Those of the requests that spend more engine time on prefill than on decode.
    pub prompt_bound: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Requested output tokens.
    pub output_tokens: u64,
}

/// Unfinished work that one or several gateways have at a back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// The back end.
    pub backend: BackendId,
    /// Requests in flight.
    pub requests: u64,
    /// Prompt tokens that are not prefilled yet.
    pub uncached: PriorityCounts,
    /// KV cache tokens that these requests hold or will hold.
    pub held_tokens: u64,
}

/// How requests of one gateway ended at a back end since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The back end.
    pub backend: BackendId,
    /// Requests that it answered.
    pub answered: u32,
    /// Requests that failed, were cut off, or got no answer.
    pub failed: u32,
    /// Requests that could not be sent because nothing listens at the address.
    pub unreachable: u32,
}

/// A prompt prefix that an engine holds in its KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCopy {
    /// The prefix.
    pub prefix: PrefixId,
    /// The engine.
    pub backend: BackendId,
}

/// A prefix copy whose engine is given by its position in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionedCopy {
    /// The prefix.
    pub prefix: PrefixId,
    /// Position of the engine among the back ends.
    pub place: u16,
}

/// Prefix copies that other gateways reported.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyUpdates {
    /// Identifies the list of back ends that the positions refer to.
    pub members: BackendListHash,
    /// The copies, oldest first.
    pub copies: Vec<PositionedCopy>,
}

/// A request about a claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Claims the key.
    Claim(ClaimCommand),
    /// Releases the claim.
    Release(ClaimCommand),
    /// Records the answer of the claimed request.
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

/// A message from a gateway to a control replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GatewayRequest {
    /// Heartbeat that asks for changes and for a lease on the configuration.
    Watch {
        /// The gateway that asks.
        gateway: GatewayId,
        /// Index of the configuration that is in force at the gateway.
        configuration_index: u64,
        /// The gateway's clock when it sent the message.
        sent_at: Millis,
        /// Index of the newest group membership that it has received.
        group_index: u64,
        /// Load that it received, by pool.
        mix: Vec<PoolMix>,
        /// Its work in flight, which the leader passes on to its peers.
        backlogs: Vec<Backlog>,
        /// How its requests ended, which the leader passes on to its peers.
        evidence: Vec<Evidence>,
        /// Prefix copies that it learned of since its last report.
        copies: Vec<PromptCopy>,
    },
    /// A request about a claim.
    Claim(ClaimRequest),
    /// Counts of requests that began to run, by tenant.
    Usage(UsageReport),
    /// Runs during which the engine ended, and the outcome of such requests. On a connection
    /// whose first request is an empty report, a replica that does not lead answers too; see
    /// `docs/design/quarantine.md`.
    Runs(RunReport),
    /// Asks for a part of the full configuration.
    Part(PartRequest),
    /// Rate limits that back ends stated in their answers.
    LimitReports {
        /// The gateway that got the answers.
        gateway: GatewayId,
        /// The reports.
        reports: LimitReports,
    },
    /// Asks for a permit to send a request to a rate-limited back end.
    Permit(PermitRequest),
    /// Whether the gateway relays requests of its peers. Answered with the relays that it
    /// may use itself.
    Relay(RelayReport),
    /// At which builds resumable streams began, of services whose engines are of several.
    NoteStreams(Vec<StreamNote>),
    /// Asks at which build a stream began.
    FindStream(StreamKey),
    /// Runs of prompts during which the engine ended, and parts of prompts that engines answer.
    /// Taken by the receiver of [`GatewayRequest::Runs`].
    PromptRuns(PromptReport),
    /// Asks at which build a stream of a service began. If it was not reported, the answer names
    /// the only build of the service, if it is known that there is only one.
    FindStreamOf {
        /// The stream.
        stream: StreamKey,
        /// The service.
        service: ServiceId,
    },
}

impl GatewayRequest {
    /// The first version that has this request.
    pub fn since(&self) -> EncodingVersion {
        match self {
            GatewayRequest::Watch { .. } | GatewayRequest::Claim(_) => EncodingVersion::V11,
            GatewayRequest::Usage(_)
            | GatewayRequest::Runs(_)
            | GatewayRequest::Part(_)
            | GatewayRequest::LimitReports { .. }
            | GatewayRequest::Permit(_) => EncodingVersion::V16,
            GatewayRequest::Relay(_) => EncodingVersion::V18,
            GatewayRequest::NoteStreams(_) | GatewayRequest::FindStream(_) => EncodingVersion::V19,
            GatewayRequest::PromptRuns(_) => EncodingVersion::V20,
            GatewayRequest::FindStreamOf { .. } => EncodingVersion::V21,
        }
    }
}

/// A replica's request to join the group, repeated until a leader sends it the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the replica, bound to its disk.
    pub id: ReplicaId,
    /// Address for peers and gateways.
    pub peer_address: String,
    /// Address for operators.
    pub admin_address: String,
}

/// What a gateway reports about relaying requests of peer gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayReport {
    /// The gateway.
    pub gateway: GatewayId,
    /// Its zone.
    pub zone: String,
    /// Where it takes requests of peer gateways; `None` if it takes none.
    pub address: Option<SocketAddr>,
    /// Services to whose back ends it has no path.
    pub unreached: Vec<ServiceId>,
}

/// A gateway that relays requests of its peers to back ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Where it takes requests of peer gateways.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Services to whose back ends it has no path.
    pub unreached: Vec<ServiceId>,
}

/// Identifies a stream by a hash of its caller's id for the attempt that brought the first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The key of the stream whose first event came with this request.
    pub fn of(request: &str) -> Self {
        StreamKey(xxh3_64(request.as_bytes()))
    }
}

/// At which build a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamNote {
    /// The stream.
    pub stream: StreamKey,
    /// The build.
    pub build: BuildId,
}

/// The build of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineBuild {
    /// The engine.
    pub backend: BackendId,
    /// Its build.
    pub build: BuildId,
}

/// What a gateway does not know yet of the builds of engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildUpdate {
    /// Engines whose builds are new to the gateway.
    pub engines: Vec<EngineBuild>,
    /// All services of which streams of several builds may live.
    pub mixed: Vec<ServiceId>,
}

/// Members of the control group, for gateways that have to reconnect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// Log index of the membership.
    pub index: u64,
    /// Peer addresses of all members.
    pub addresses: Vec<String>,
}

/// Update of a gateway's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchUpdate {
    /// The gateway is up to date.
    Current,
    /// Changes since the index that the gateway sent.
    Changes {
        /// Index that the changes apply to.
        from: u64,
        /// Index after the changes.
        to: u64,
        /// The changes, each with its index.
        changes: Shared<Vec<(u64, ConfigurationChange)>>,
    },
    /// The full configuration.
    Snapshot(Shared<Configuration>),
    /// The full configuration is too large for one message; the gateway asks for its parts.
    Parts {
        /// Index of the configuration.
        index: u64,
    },
    /// All changes were already sent on this connection and have not arrived yet.
    UnderWay,
}

impl WatchUpdate {
    /// Approximate number of changes in the update.
    pub fn changes(&self) -> u64 {
        let changes = match self {
            WatchUpdate::Current | WatchUpdate::UnderWay | WatchUpdate::Parts { .. } => 0,
            WatchUpdate::Changes { changes, .. } => changes.len(),
            WatchUpdate::Snapshot(full) => {
                full.sessions.len() + full.policies.len() + full.backends.len()
            }
        };
        changes as u64
    }
}

/// Rate limits of all limited back ends, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Term of the leader.
    pub term: u64,
    /// Increases with each change of the list within the term.
    pub number: u64,
    /// Number of the gateway's last [`LimitReports`] that was applied.
    pub reports_taken: u64,
    /// The limits.
    pub limits: Shared<Vec<LimitEntry>>,
}

impl LimitUpdate {
    /// The list in the form that gateways apply.
    pub fn list(&self) -> LimitList<'_> {
        LimitList {
            term: self.term,
            number: self.number,
            reports_taken: self.reports_taken,
            limits: &self.limits,
        }
    }
}

/// A message from a control replica to a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Answer to a watch: the configuration is in force, and the lease starts
    /// at `sent_at`.
    Watch {
        /// Copied from the request.
        sent_at: Millis,
        /// Changes of the configuration.
        update: WatchUpdate,
        /// The group, if the gateway does not have the newest one.
        group: Option<GroupView>,
        /// Number of gateways that hold a lease; they share the budgets.
        gateways: u64,
        /// Load and health of all back ends; `None` leaves the previous digest in force.
        digest: Option<GatewayDigest>,
        /// Copies that other gateways reported since the last answer to this one.
        copies: CopyUpdates,
        /// Requests suspected of crashing engines; `None` leaves the previous list in force.
        suspects: Option<Suspects>,
    },
    /// Answer to a request about a claim.
    Claim {
        /// The claim.
        claim: ClaimCommand,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Answer to a usage report.
    Usage(UsageReceipt),
    /// The leader has recorded the runs up to this number.
    RunsNoted {
        /// Number of the newest recorded run.
        through: u64,
    },
    /// A part of the full configuration, or `None` if it is no longer available.
    Part(Option<ConfigurationPart>),
    /// The rate limits of back ends; follows the answer to a watch if the gateway may
    /// not have the newest list.
    Limits(LimitUpdate),
    /// Answer to a request for a permit.
    Permit(PermitAnswer),
    /// This replica is not the leader; the gateway has to ask the leader.
    NotLeader {
        /// Address of the leader for gateways, if known.
        leader: Option<String>,
        /// The newest configuration that this replica knows to be committed. Sent only
        /// to a gateway without a configuration while no leader is known.
        last_known: Option<Shared<Configuration>>,
    },
    /// Answer to a relay report: gateways that may relay requests, the nearest first.
    Relays(Vec<Relay>),
    /// Builds of engines; follows the answer to a watch if there is any news.
    Builds(BuildUpdate),
    /// Answer to the question at which build a stream began.
    StreamBuild {
        /// The stream.
        stream: StreamKey,
        /// The build, if it is known.
        build: Option<BuildId>,
    },
    /// The receiver of the reports has recorded the runs of prompts up to this number.
    PromptRunsNoted {
        /// Number of the newest recorded run.
        through: u64,
    },
    /// What the receiver of the reports knows of parts of prompts during whose runs engines
    /// crashed.
    PromptEvidence(PromptEvidence),
}

impl ControlReply {
    /// The first version that has this reply.
    pub fn since(&self) -> EncodingVersion {
        match self {
            ControlReply::Watch { .. }
            | ControlReply::Claim { .. }
            | ControlReply::NotLeader { .. } => EncodingVersion::V11,
            ControlReply::Usage(_)
            | ControlReply::RunsNoted { .. }
            | ControlReply::Part(_)
            | ControlReply::Limits(_)
            | ControlReply::Permit(_) => EncodingVersion::V16,
            ControlReply::Relays(_) => EncodingVersion::V18,
            ControlReply::Builds(_) | ControlReply::StreamBuild { .. } => EncodingVersion::V19,
            ControlReply::PromptRunsNoted { .. } | ControlReply::PromptEvidence(_) => {
                EncodingVersion::V20
            }
        }
    }
}
