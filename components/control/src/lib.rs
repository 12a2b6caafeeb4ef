//! The control group: its replicated state and the work of its leader.
//!
//! Contract: [`ControlState::apply`] is deterministic: the same log gives the same state,
//! also through a snapshot at any index. [`Replica`] combines the consensus node, the
//! state and the leader's work (configuration leases, engine orders, planning). It handles
//! an [`Event`] at a given time and returns [`Effect`]s; it uses no socket, file or clock
//! itself.

mod answer;
mod balancing;
mod builds;
mod claims;
mod command;
mod configuration;
mod configuration_transfer;
mod copies;
mod duties;
mod effects;
mod encoding;
mod engine_removals;
mod fleet_health;
mod fleet_load;
mod fleet_sizing;
mod gateways;
mod group_step;
mod kept_changes;
mod load_digest;
mod messages;
mod operator;
mod planner_settings;
mod planning;
mod pool_census;
mod priority_counts;
mod recent_streams;
mod reconciler;
mod relays;
mod replica;
mod shared;
mod state;
mod usage;
mod watch;

pub use answer::{ClaimAnswer, CommandAnswer};
pub use builds::STREAM_LIFETIME;
pub use claims::{CLAIM_RETENTION, ClaimState, Claims, MAX_CLAIMS, MAX_RECORDED_BYTES};
pub use command::{ClaimCommand, Command, CommandEnvelope, MachineUpdate};
pub use garnet_types::UNKNOWN_START;
pub use priority_counts::{LOWEST_PRIORITY, PriorityCounts};

pub use configuration::{
    BackendRecord, BackendRegistration, Configuration, ConfigurationChange, EngineObservation,
    OutstandingOrder, PolicyRecord, QuarantineRecord, Session,
};
pub use configuration_transfer::{
    ConfigurationLoader, ConfigurationPart, PartContent, PartOutcome, PartRequest,
};
pub use duties::{Duty, DutyAnswer, DutyCall, DutySettings, Tenure, Tenures};
pub use effects::{Effect, EngineRequest, Event, Halted, MachineEntry};
pub use encoding::{DecodedEntry, EntryError, LogEncoding, NotInVersion, encode_entry, v11};
pub use gateways::{CONFIGURATION_LEASE, GatewayLeases};
pub use group_step::{GroupSettings, GroupStep, MemberStatus, next_step};
pub use load_digest::{BackendListHash, BackendState, GatewayDigest, LoadDigest, PositionedState};
pub use messages::{
    Backlog, BuildUpdate, ClaimRequest, ControlReply, CopyUpdates, EngineBuild, Evidence,
    GatewayRequest, GroupView, JoinRequest, LimitUpdate, PoolMix, PositionedCopy, PromptCopy,
    Relay, RelayReport, StreamKey, StreamNote, WatchUpdate,
};
pub use operator::{
    GatewayView, MemberChange, MemberView, OperatorAnswer, OperatorRequest, StatusView,
};
pub use planner_settings::planner_settings;
pub use recent_streams::RecentStreams;
pub use reconciler::EnginePolling;
pub use replica::{
    DirectorySettings, LogCompactor, Replica, ReplicaSettings, RestoreError, UpgradeSettings,
};
pub use shared::Shared;
pub use state::{ControlState, STATE_FORMAT, StateDecodeError, SuspectRecord};
pub use usage::{Usage, UsageCount, UsageReceipt, UsageReport, WindowCounts, usage_interval};
