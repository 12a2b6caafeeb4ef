//! Samples of frames.

use std::sync::Arc;

use garnet_consensus::{Entry, EntryPayload, Envelope, Message};
use garnet_control::*;
use garnet_limits::{
    LimitEntry, LimitReport, LimitReports, PermitAnswer, PermitOutcome, PermitRequest,
};
use garnet_quarantine::{
    BrokenPromptRun, EndedRun, PartId, PromptEvidence, PromptReport, RunEnd, RunReport, SoundPart,
    Suspects, TrackedParts,
};
use garnet_types::*;
use garnet_wire::{Frame, Sender};

use super::values::*;

/// Frames that are recorded from version 16 on.
pub fn frames_since_16() -> Vec<(&'static str, Frame)> {
    let report = UsageReport {
        gateway: GatewayId::new("gateway-1"),
        number: 3,
        counts: vec![UsageCount {
            window: UsageWindow(7),
            tenant: TenantId::new("one"),
            requests: 5,
        }],
    };
    vec![
        (
            "gateway_usage",
            Frame::Gateway(GatewayRequest::Usage(report)),
        ),
        (
            "gateway_part",
            Frame::Gateway(GatewayRequest::Part(PartRequest {
                index: 41,
                number: 2,
            })),
        ),
        (
            "control_usage",
            Frame::Control(ControlReply::Usage(UsageReceipt {
                logged: 3,
                closed_through: Some(UsageWindow(6)),
                time: Millis(9000),
            })),
        ),
        (
            "control_runs_noted",
            Frame::Control(ControlReply::RunsNoted { through: 8 }),
        ),
        (
            "control_part_gone",
            Frame::Control(ControlReply::Part(None)),
        ),
        (
            "control_parts",
            watch_reply(WatchUpdate::Parts { index: 41 }),
        ),
        ("control_under_way", watch_reply(WatchUpdate::UnderWay)),
    ]
}

fn changes() -> Vec<(u64, ConfigurationChange)> {
    vec![
        (40, ConfigurationChange::SessionCreated(session())),
        (
            41,
            ConfigurationChange::SessionClosed(SessionId::new("session-1")),
        ),
        (42, ConfigurationChange::RoutesPut(Arc::new(table(8)))),
        (
            43,
            ConfigurationChange::PolicyPut {
                name: "urgent".into(),
                record: PolicyRecord {
                    document: "class = 1".into(),
                    revision: 43,
                },
            },
        ),
        (44, ConfigurationChange::PolicyWithdrawn("urgent".into())),
        (
            45,
            ConfigurationChange::BackendPut(record("engine-1", MachineState::Live, true)),
        ),
        (
            46,
            ConfigurationChange::BackendRemoved(BackendId::new("engine-2")),
        ),
    ]
}
fn digest() -> GatewayDigest {
    let ids = [
        BackendId::new("engine-1"),
        BackendId::new("engine-2"),
        BackendId::new("engine-3"),
    ];
    let states = [
        BackendState::default(),
        BackendState {
            requests: 4,
            uncached: PriorityCounts::at(1, 640),
            held_tokens: 1280,
            is_failing: false,
        },
        BackendState {
            requests: 0,
            uncached: PriorityCounts::default(),
            held_tokens: 0,
            is_failing: true,
        },
    ];
    GatewayDigest {
        digest: LoadDigest::encode(BackendListHash::of(ids.iter()), states),
        counted: Some(Millis(990)),
    }
}
fn watch_reply(update: WatchUpdate) -> Frame {
    watch_reply_with(update, None)
}

fn watch_reply_with(update: WatchUpdate, suspects: Option<Suspects>) -> Frame {
    Frame::Control(ControlReply::Watch {
        sent_at: Millis(1000),
        update,
        group: Some(GroupView {
            index: 5,
            addresses: vec!["10.0.0.1:7400".into(), "10.0.0.2:7400".into()],
        }),
        gateways: 7,
        digest: Some(digest()),
        copies: CopyUpdates {
            members: BackendListHash::of([BackendId::new("engine-1")].iter()),
            copies: vec![PositionedCopy {
                prefix: PrefixId(0xabc),
                place: 1,
            }],
        },
        suspects,
    })
}
fn peer(message: Message) -> Frame {
    Frame::Peer(Envelope {
        from: ReplicaId(1),
        to: ReplicaId(2),
        term: 9,
        message,
    })
}
/// Frames that are recorded for each version.
pub fn frames(version: EncodingVersion) -> Vec<(&'static str, Frame)> {
    vec![
        (
            "hello_replica",
            Frame::Hello {
                version,
                sender: Sender::Replica {
                    id: ReplicaId(1),
                    address: "10.0.0.1:7400".into(),
                },
            },
        ),
        (
            "hello_gateway",
            Frame::Hello {
                version,
                sender: Sender::Gateway(GatewayId::new("gateway-1")),
            },
        ),
        (
            "peer_request_vote",
            peer(Message::RequestVote {
                pre_vote: true,
                transfer: false,
                last_index: 88,
                last_term: 8,
            }),
        ),
        (
            "peer_vote_reply",
            peer(Message::VoteReply {
                pre_vote: true,
                granted: true,
            }),
        ),
        (
            "peer_append",
            peer(Message::Append {
                previous_index: 87,
                previous_term: 8,
                entries: vec![
                    Entry {
                        index: 88,
                        term: 9,
                        payload: EntryPayload::Noop,
                    },
                    Entry {
                        index: 89,
                        term: 9,
                        payload: EntryPayload::Command(vec![1, 2, 3]),
                    },
                    Entry {
                        index: 90,
                        term: 9,
                        payload: EntryPayload::Membership(membership()),
                    },
                ],
                commit_index: 87,
                sent_at: Millis(1234),
            }),
        ),
        (
            "peer_append_reply",
            peer(Message::AppendReply {
                match_index: 90,
                accepted: true,
                sent_at: Millis(1234),
            }),
        ),
        (
            "peer_snapshot_chunk",
            peer(Message::SnapshotChunk {
                index: 60,
                snapshot_term: 7,
                membership: membership(),
                offset: 0,
                data: vec![9, 8, 7],
                done: true,
                sent_at: Millis(1300),
            }),
        ),
        (
            "peer_snapshot_reply",
            peer(Message::SnapshotReply {
                index: 60,
                next_offset: 3,
                sent_at: Millis(1300),
            }),
        ),
        ("peer_timeout_now", peer(Message::TimeoutNow)),
        (
            "join",
            Frame::Join(JoinRequest {
                id: ReplicaId(4),
                peer_address: "10.0.0.4:7400".into(),
                admin_address: "10.0.0.4:8100".into(),
            }),
        ),
        (
            "gateway_watch",
            Frame::Gateway(GatewayRequest::Watch {
                gateway: GatewayId::new("gateway-1"),
                configuration_index: 41,
                sent_at: Millis(1000),
                group_index: 5,
                mix: vec![PoolMix {
                    service: ServiceId::new("chat"),
                    model: ModelId::new("m"),
                    requests: 9,
                    prompt_bound: 4,
                    prompt_tokens: 8000,
                    output_tokens: 300,
                }],
                backlogs: vec![Backlog {
                    backend: BackendId::new("engine-1"),
                    requests: 3,
                    uncached: PriorityCounts::at(2, 900),
                    held_tokens: 2000,
                }],
                evidence: vec![Evidence {
                    backend: BackendId::new("engine-1"),
                    answered: 5,
                    failed: 1,
                    unreachable: 2,
                }],
                copies: vec![PromptCopy {
                    prefix: PrefixId(0xabc),
                    backend: BackendId::new("engine-1"),
                }],
            }),
        ),
        (
            "gateway_claim",
            Frame::Gateway(GatewayRequest::Claim(ClaimRequest::Claim(claim("a")))),
        ),
        (
            "gateway_release",
            Frame::Gateway(GatewayRequest::Claim(ClaimRequest::Release(claim("a")))),
        ),
        (
            "gateway_record",
            Frame::Gateway(GatewayRequest::Claim(ClaimRequest::Record {
                claim: claim("a"),
                response: response(),
            })),
        ),
        ("control_current", watch_reply(WatchUpdate::Current)),
        (
            "control_changes",
            watch_reply(WatchUpdate::Changes {
                from: 39,
                to: 46,
                changes: Arc::new(changes()).into(),
            }),
        ),
        (
            "control_snapshot",
            watch_reply(WatchUpdate::Snapshot(Arc::new(configuration()).into())),
        ),
        (
            "control_claim_granted",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Granted,
            }),
        ),
        (
            "control_claim_held",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Held,
            }),
        ),
        (
            "control_claim_recorded",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Recorded(response()),
            }),
        ),
        (
            "control_claim_body_differs",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::BodyDiffers,
            }),
        ),
        (
            "control_claim_released",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Released,
            }),
        ),
        (
            "control_claim_full",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Full,
            }),
        ),
        (
            "control_claim_noted",
            Frame::Control(ControlReply::Claim {
                claim: claim("a"),
                answer: ClaimAnswer::Noted,
            }),
        ),
        (
            "control_not_leader",
            Frame::Control(ControlReply::NotLeader {
                leader: Some("10.0.0.2:7400".into()),
                last_known: Some(Arc::new(configuration()).into()),
            }),
        ),
    ]
}

fn full_changes() -> Vec<(u64, ConfigurationChange)> {
    let record = QuarantineRecord {
        crashes: 3,
        until: Millis(99_000),
    };
    let mut changes = changes();
    changes.push((47, ConfigurationChange::RoutesPut(Arc::new(full_table()))));
    changes.push((
        48,
        ConfigurationChange::RequestQuarantined(fingerprint(), record),
    ));
    changes.push((49, ConfigurationChange::RequestReleased(fingerprint())));
    changes
}

/// Frames that are recorded from version 17 on.
pub fn frames_since_17() -> Vec<(&'static str, Frame)> {
    let runs = vec![
        EndedRun {
            fingerprint: fingerprint(),
            end: RunEnd::Crashed(engine_start()),
            ago: Millis(40),
        },
        EndedRun {
            fingerprint: fingerprint(),
            end: RunEnd::Completed,
            ago: Millis(20),
        },
    ];
    let rate = "1.5".parse().expect("a rate");
    let engine = || BackendId::new("engine-1");
    let limit_report = LimitReport {
        backend: engine(),
        start: 77,
        rate: Some(rate),
        ago: Millis(5),
    };
    let reports = LimitReports {
        number: 4,
        reports: vec![limit_report],
    };
    let permit_request = PermitRequest {
        number: 6,
        backends: vec![engine()],
        priority: 1,
    };
    let granted = PermitOutcome::Granted {
        backend: engine(),
        is_due: true,
    };
    let refused = PermitOutcome::Refused {
        wait: Millis(300),
        retry_after: Millis(700),
    };
    let place = PartRequest {
        index: 41,
        number: 0,
    };
    let part = |content: PartContent| ConfigurationPart {
        place,
        parts: 2,
        content: content.into(),
    };
    let limits = LimitUpdate {
        term: 9,
        number: 2,
        reports_taken: 4,
        limits: vec![LimitEntry {
            backend: engine(),
            rate,
        }]
        .into(),
    };
    let suspects = Suspects {
        suspected: vec![fingerprint()],
        refused: vec![fingerprint()],
    };
    let with_suspects = watch_reply_with(WatchUpdate::Current, Some(suspects));
    let control = |reply: ControlReply| Frame::Control(reply);
    vec![
        (
            "welcome",
            Frame::Welcome {
                version: EncodingVersion::V17,
            },
        ),
        (
            "gateway_runs",
            Frame::Gateway(GatewayRequest::Runs(RunReport { runs, through: 8 })),
        ),
        (
            "gateway_limit_reports",
            Frame::Gateway(GatewayRequest::LimitReports {
                gateway: GatewayId::new("gateway-1"),
                reports,
            }),
        ),
        (
            "gateway_permit",
            Frame::Gateway(GatewayRequest::Permit(permit_request)),
        ),
        (
            "control_whole_changes",
            watch_reply(WatchUpdate::Changes {
                from: 39,
                to: 49,
                changes: full_changes().into(),
            }),
        ),
        ("control_suspects", with_suspects),
        (
            "control_part_rest",
            control(ControlReply::Part(Some(part(PartContent::Rest(
                configuration(),
            ))))),
        ),
        (
            "control_part_backends",
            control(ControlReply::Part(Some(part(PartContent::Backends(vec![
                record("engine-1", MachineState::Live, true),
            ]))))),
        ),
        ("control_limits", control(ControlReply::Limits(limits))),
        (
            "control_permit_granted",
            control(ControlReply::Permit(PermitAnswer {
                number: 6,
                outcome: granted,
            })),
        ),
        (
            "control_permit_refused",
            control(ControlReply::Permit(PermitAnswer {
                number: 6,
                outcome: refused,
            })),
        ),
    ]
}

/// Frames that exist since version 18.
pub fn frames_since_18() -> Vec<(&'static str, Frame)> {
    let address = || "10.0.0.7:7400".parse().expect("an address");
    let unreached = vec![ServiceId::new("checkout")];
    let report = |address| RelayReport {
        gateway: GatewayId::new("gateway-1"),
        zone: "zone-a".to_owned(),
        address,
        unreached: unreached.clone(),
    };
    let relay = Relay {
        address: address(),
        zone: "zone-a".to_owned(),
        unreached: unreached.clone(),
    };
    vec![
        (
            "gateway_relay",
            Frame::Gateway(GatewayRequest::Relay(report(Some(address())))),
        ),
        (
            "gateway_relay_none",
            Frame::Gateway(GatewayRequest::Relay(report(None))),
        ),
        (
            "control_relays",
            Frame::Control(ControlReply::Relays(vec![relay])),
        ),
    ]
}

/// Frames that exist since version 19.
pub fn frames_since_19() -> Vec<(&'static str, Frame)> {
    let stream = StreamKey(0x1122_3344_5566_7788);
    let build = || BuildId::new("v1.1");
    let update = BuildUpdate {
        engines: vec![EngineBuild {
            backend: BackendId::new("engine-1"),
            build: build(),
        }],
        mixed: vec![ServiceId::new("chat")],
    };
    let note = StreamNote {
        stream,
        build: build(),
    };
    let found = |build| Frame::Control(ControlReply::StreamBuild { stream, build });
    vec![
        (
            "gateway_note_streams",
            Frame::Gateway(GatewayRequest::NoteStreams(vec![note])),
        ),
        (
            "gateway_find_stream",
            Frame::Gateway(GatewayRequest::FindStream(stream)),
        ),
        (
            "control_builds",
            Frame::Control(ControlReply::Builds(update)),
        ),
        ("control_stream_build", found(Some(build()))),
        ("control_stream_build_unknown", found(None)),
    ]
}

/// Frames that exist since version 20.
pub fn frames_since_20() -> Vec<(&'static str, Frame)> {
    let service = || ServiceId::new("chat");
    let broken = BrokenPromptRun {
        service: service(),
        request: fingerprint(),
        parts: vec![PartId(0x5c1e), PartId(0xbad0)],
        engine: engine_start(),
        ago: Millis(40),
    };
    let sound = SoundPart {
        service: service(),
        part: PartId(0x5c1e),
        ago: Millis(15),
    };
    let report = PromptReport {
        broken: vec![broken.clone()],
        sound: vec![sound.clone()],
        through: 9,
    };
    let tracked = TrackedParts {
        service: service(),
        parts: vec![PartId(0xbad0)],
    };
    let evidence = PromptEvidence {
        tracked: vec![tracked],
        runs: vec![broken],
        sound: vec![sound],
    };
    vec![
        (
            "gateway_prompt_runs",
            Frame::Gateway(GatewayRequest::PromptRuns(report)),
        ),
        (
            "control_prompt_runs_noted",
            Frame::Control(ControlReply::PromptRunsNoted { through: 9 }),
        ),
        (
            "control_prompt_evidence",
            Frame::Control(ControlReply::PromptEvidence(evidence)),
        ),
    ]
}

/// Frames that exist since version 21.
pub fn frames_since_21() -> Vec<(&'static str, Frame)> {
    let request = GatewayRequest::FindStreamOf {
        stream: StreamKey(0x1122_3344_5566_7788),
        service: ServiceId::new("chat"),
    };
    vec![("gateway_find_stream_of", Frame::Gateway(request))]
}
