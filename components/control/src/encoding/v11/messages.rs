//! Messages between gateways and the leader.

use garnet_types::{GatewayId, Millis};
use serde::{Deserialize, Serialize};

use super::configuration::{Configuration, ConfigurationChange};
use crate::answer::ClaimAnswer;
use crate::command::ClaimCommand;
use crate::configuration::{
    Configuration as CurrentConfiguration, ConfigurationChange as CurrentChange,
};
use crate::encoding::NotInVersion;
use crate::load_digest::{GatewayDigest, V11Digest};
use crate::messages::{
    Backlog, ClaimRequest, ControlReply as CurrentReply, CopyUpdates, Evidence,
    GatewayRequest as CurrentRequest, GroupView, PoolMix, PromptCopy, WatchUpdate as CurrentUpdate,
};
use crate::shared::Shared;

/// A message from a gateway to a replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the current type documents the fields")]
pub enum GatewayRequest {
    Watch {
        gateway: GatewayId,
        configuration_index: u64,
        sent_at: Millis,
        group_index: u64,
        mix: Vec<PoolMix>,
        backlogs: Vec<Backlog>,
        evidence: Vec<Evidence>,
        copies: Vec<PromptCopy>,
    },
    Claim(ClaimRequest),
}

impl GatewayRequest {
    /// Converts a request; `None` if version 11 has no such request.
    pub fn of(request: CurrentRequest) -> Option<Self> {
        match request {
            CurrentRequest::Watch {
                gateway,
                configuration_index,
                sent_at,
                group_index,
                mix,
                backlogs,
                evidence,
                copies,
            } => Some(GatewayRequest::Watch {
                gateway,
                configuration_index,
                sent_at,
                group_index,
                mix,
                backlogs,
                evidence,
                copies,
            }),
            CurrentRequest::Claim(request) => Some(GatewayRequest::Claim(request)),
            CurrentRequest::Usage(_)
            | CurrentRequest::Runs(_)
            | CurrentRequest::Part(_)
            | CurrentRequest::LimitReports { .. }
            | CurrentRequest::Permit(_)
            | CurrentRequest::Relay(_)
            | CurrentRequest::NoteStreams(_)
            | CurrentRequest::FindStream(_)
            | CurrentRequest::PromptRuns(_)
            | CurrentRequest::FindStreamOf { .. } => None,
        }
    }
}

impl From<GatewayRequest> for CurrentRequest {
    fn from(request: GatewayRequest) -> Self {
        match request {
            GatewayRequest::Watch {
                gateway,
                configuration_index,
                sent_at,
                group_index,
                mix,
                backlogs,
                evidence,
                copies,
            } => CurrentRequest::Watch {
                gateway,
                configuration_index,
                sent_at,
                group_index,
                mix,
                backlogs,
                evidence,
                copies,
            },
            GatewayRequest::Claim(request) => CurrentRequest::Claim(request),
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum WatchUpdate {
    Current,
    Changes {
        from: u64,
        to: u64,
        changes: Vec<(u64, ConfigurationChange)>,
    },
    Snapshot(Configuration),
}

impl WatchUpdate {
    /// Converts an update; `None` if version 11 has no such update.
    fn of(update: &CurrentUpdate) -> Result<Option<Self>, NotInVersion> {
        let update = match update {
            CurrentUpdate::Current => WatchUpdate::Current,
            CurrentUpdate::Changes { from, to, changes } => WatchUpdate::Changes {
                from: *from,
                to: *to,
                changes: changes_of(changes)?,
            },
            CurrentUpdate::Snapshot(snapshot) => WatchUpdate::Snapshot((&**snapshot).try_into()?),
            CurrentUpdate::Parts { .. } | CurrentUpdate::UnderWay => return Ok(None),
        };
        Ok(Some(update))
    }
}

fn changes_of(
    changes: &[(u64, CurrentChange)],
) -> Result<Vec<(u64, ConfigurationChange)>, NotInVersion> {
    let change = |(index, change): &(u64, CurrentChange)| {
        let change = ConfigurationChange::of(change).transpose()?;
        Some(change.map(|change| (*index, change)))
    };
    changes.iter().filter_map(change).collect()
}

impl From<WatchUpdate> for CurrentUpdate {
    fn from(update: WatchUpdate) -> Self {
        match update {
            WatchUpdate::Current => CurrentUpdate::Current,
            WatchUpdate::Changes { from, to, changes } => {
                let changes = changes.into_iter();
                let changes: Vec<(u64, CurrentChange)> = changes
                    .map(|(index, change)| (index, change.into()))
                    .collect();
                CurrentUpdate::Changes {
                    from,
                    to,
                    changes: Shared::from(changes),
                }
            }
            WatchUpdate::Snapshot(snapshot) => CurrentUpdate::Snapshot(shared(snapshot)),
        }
    }
}

fn shared(snapshot: Configuration) -> Shared<CurrentConfiguration> {
    Shared::from(CurrentConfiguration::from(snapshot))
}

/// A message from a replica to a gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlReply(Reply);

#[derive(Debug, Clone, Serialize, Deserialize)]
enum Reply {
    Watch {
        sent_at: Millis,
        update: WatchUpdate,
        group: Option<GroupView>,
        gateways: u64,
        digest: Option<V11Digest>,
        copies: CopyUpdates,
    },
    Claim {
        claim: ClaimCommand,
        answer: ClaimAnswer,
    },
    NotLeader {
        leader: Option<String>,
        last_known: Option<Configuration>,
    },
}

impl ControlReply {
    /// Converts a reply; `None` if version 11 has no such reply.
    ///
    /// # Errors
    /// When it holds a configuration that version 11 can't express.
    pub fn of(reply: &CurrentReply) -> Result<Option<Self>, NotInVersion> {
        let reply = match reply {
            CurrentReply::Watch {
                sent_at,
                update,
                group,
                gateways,
                digest,
                copies,
                ..
            } => {
                let Some(update) = WatchUpdate::of(update)? else {
                    return Ok(None);
                };
                Reply::Watch {
                    sent_at: *sent_at,
                    update,
                    group: group.clone(),
                    gateways: *gateways,
                    digest: digest.as_ref().and_then(V11Digest::of),
                    copies: copies.clone(),
                }
            }
            CurrentReply::Claim { claim, answer } => Reply::Claim {
                claim: claim.clone(),
                answer: answer.clone(),
            },
            CurrentReply::NotLeader { leader, last_known } => {
                let last_known = last_known.as_ref().map(|snapshot| (&**snapshot).try_into());
                Reply::NotLeader {
                    leader: leader.clone(),
                    last_known: last_known.transpose()?,
                }
            }
            CurrentReply::Usage(_)
            | CurrentReply::RunsNoted { .. }
            | CurrentReply::Part(_)
            | CurrentReply::Limits(_)
            | CurrentReply::Permit(_)
            | CurrentReply::Relays(_)
            | CurrentReply::Builds(_)
            | CurrentReply::StreamBuild { .. }
            | CurrentReply::PromptRunsNoted { .. }
            | CurrentReply::PromptEvidence(_) => return Ok(None),
        };
        Ok(Some(ControlReply(reply)))
    }
}

impl From<ControlReply> for CurrentReply {
    fn from(reply: ControlReply) -> Self {
        match reply.0 {
            Reply::Watch {
                sent_at,
                update,
                group,
                gateways,
                digest,
                copies,
            } => CurrentReply::Watch {
                sent_at,
                update: update.into(),
                group,
                gateways,
                digest: digest.and_then(|digest| GatewayDigest::try_from(digest).ok()),
                copies,
                suspects: None,
            },
            Reply::Claim { claim, answer } => CurrentReply::Claim { claim, answer },
            Reply::NotLeader { leader, last_known } => CurrentReply::NotLeader {
                leader,
                last_known: last_known.map(shared),
            },
        }
    }
}
