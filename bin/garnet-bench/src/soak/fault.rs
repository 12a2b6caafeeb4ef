//! What may strike.

use std::fmt;
use std::str::FromStr;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FaultKind {
    /// SIGKILL to a replica, started again from its disk.
    ReplicaKill,
    /// SIGSTOP to a replica, then SIGCONT.
    ReplicaPause,
    /// SIGTERM to a replica, started again.
    ReplicaStop,
    /// SIGKILL to all replicas at once.
    GroupKill,
    /// SIGKILL to a gateway.
    GatewayKill,
    /// SIGSTOP to a gateway, then SIGCONT.
    GatewayPause,
    /// SIGTERM to a gateway: a planned stop, which may cut nothing.
    GatewayStop,
    /// A replica's port answers late.
    LinkDelay,
    /// A replica's port closes all connections.
    LinkReset,
    /// A replica's port takes bytes and passes none on, either way.
    LinkSilence,
    /// A replica hears nothing, and is heard.
    LinkOneWay,
    /// An application runs a call and loses its answer.
    AnswerLost,
    /// An application stands still.
    BackendPause,
    /// An application refuses calls.
    BackendRefuse,
    /// An application refuses calls and requests a backoff.
    BackendOverload,
    /// An application ends its answers with their connections, cut at some byte.
    BackendUnframed,
    /// SIGKILL to an engine, started again.
    EngineKill,
    /// SIGSTOP to an engine, then SIGCONT.
    EnginePause,
    /// SIGTERM or SIGKILL to an engine, which starts again as another build.
    EngineReplace,
    /// A request that crashes each engine that runs it comes again and again.
    CrashingRequest,
}

/// All kinds and their names on the command line.
pub(super) const ALL: [(FaultKind, &str); 20] = [
    (FaultKind::ReplicaKill, "replica-kill"),
    (FaultKind::ReplicaPause, "replica-pause"),
    (FaultKind::ReplicaStop, "replica-stop"),
    (FaultKind::GroupKill, "group-kill"),
    (FaultKind::GatewayKill, "gateway-kill"),
    (FaultKind::GatewayPause, "gateway-pause"),
    (FaultKind::GatewayStop, "gateway-stop"),
    (FaultKind::LinkDelay, "link-delay"),
    (FaultKind::LinkReset, "link-reset"),
    (FaultKind::LinkSilence, "link-silence"),
    (FaultKind::LinkOneWay, "link-one-way"),
    (FaultKind::AnswerLost, "answer-lost"),
    (FaultKind::BackendPause, "backend-pause"),
    (FaultKind::BackendRefuse, "backend-refuse"),
    (FaultKind::BackendOverload, "backend-overload"),
    (FaultKind::EngineKill, "engine-kill"),
    (FaultKind::EnginePause, "engine-pause"),
    (FaultKind::CrashingRequest, "crashing-request"),
    (FaultKind::BackendUnframed, "backend-unframed"),
    (FaultKind::EngineReplace, "engine-replace"),
];

impl FaultKind {
    /// The kinds of a list; all of them where there is none.
    pub(super) fn parse_list(text: Option<&str>) -> Result<Vec<Self>, String> {
        let Some(text) = text else {
            return Ok(ALL.iter().map(|(kind, _)| *kind).collect());
        };
        text.split(',').map(str::parse).collect()
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = ALL.iter().find(|(kind, _)| kind == self);
        formatter.write_str(name.map_or("", |(_, name)| name))
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = ALL.iter().find(|(_, name)| *name == text);
        let names = || ALL.map(|(_, name)| name).join(", ");
        found
            .map(|(kind, _)| *kind)
            .ok_or_else(|| format!("unknown fault \"{text}\"; known are {}", names()))
    }
}
