//! Checks that each variant of the encoded types has a sample with recorded bytes. A new
//! variant does not compile here until it gets a number, and then fails the tests until it
//! is added to the samples.

use std::collections::BTreeSet;

use garnet_consensus::{EntryPayload, Message};
use garnet_control::{
    ClaimAnswer, Command, ConfigurationChange, ControlReply, GatewayRequest, WatchUpdate,
};
use garnet_types::EncodingVersion;
use garnet_wire::Frame;

use crate::samples;

fn command_number(command: &Command) -> usize {
    match command {
        Command::CreateSession(_) => 0,
        Command::CloseSession(_) => 1,
        Command::PutPolicy { .. } => 2,
        Command::WithdrawPolicy(_) => 3,
        Command::PutRoutes { .. } => 4,
        Command::PutBackend(_) => 5,
        Command::SetMachine { .. } => 6,
        Command::RemoveBackend(_) => 7,
        Command::Assign { .. } => 8,
        Command::BeginOrder(_) => 9,
        Command::BeginIdleOrder(_) => 10,
        Command::RenewOrder { .. } => 11,
        Command::SettleOrder { .. } => 12,
        Command::Observe { .. } => 13,
        Command::Claim(_) => 14,
        Command::ReleaseClaim(_) => 15,
        Command::RecordResult { .. } => 16,
        Command::BeginTenure(_) => 17,
        Command::CountUsage(_) => 18,
        Command::CloseUsage(_) => 19,
        Command::NoteNeeded { .. } => 20,
        Command::UsageTold(_) => 21,
        Command::QuarantineRequest { .. } => 22,
        Command::ReleaseRequest(_) => 23,
        Command::NoteSuspects(_) => 24,
        Command::NoteMachines(_) => 25,
        Command::ForgetMachines(_) => 26,
        Command::RaiseLevel(_) => 27,
    }
}

fn change_number(change: &ConfigurationChange) -> usize {
    match change {
        ConfigurationChange::SessionCreated(_) => 0,
        ConfigurationChange::SessionClosed(_) => 1,
        ConfigurationChange::RoutesPut(_) => 2,
        ConfigurationChange::PolicyPut { .. } => 3,
        ConfigurationChange::PolicyWithdrawn(_) => 4,
        ConfigurationChange::BackendPut(_) => 5,
        ConfigurationChange::BackendRemoved(_) => 6,
        ConfigurationChange::RequestQuarantined(..) => 7,
        ConfigurationChange::RequestReleased(_) => 8,
    }
}

fn update_number(update: &WatchUpdate) -> usize {
    match update {
        WatchUpdate::Current => 0,
        WatchUpdate::Changes { .. } => 1,
        WatchUpdate::Snapshot(_) => 2,
        WatchUpdate::Parts { .. } => 3,
        WatchUpdate::UnderWay => 4,
    }
}

fn reply_number(reply: &ControlReply) -> usize {
    match reply {
        ControlReply::Watch { .. } => 0,
        ControlReply::Claim { .. } => 1,
        ControlReply::Usage(_) => 2,
        ControlReply::RunsNoted { .. } => 3,
        ControlReply::Part(_) => 4,
        ControlReply::Limits(_) => 5,
        ControlReply::Permit(_) => 6,
        ControlReply::NotLeader { .. } => 7,
        ControlReply::Relays(_) => 8,
        ControlReply::Builds(_) => 9,
        ControlReply::StreamBuild { .. } => 10,
        ControlReply::PromptRunsNoted { .. } => 11,
        ControlReply::PromptEvidence(_) => 12,
    }
}

fn request_number(request: &GatewayRequest) -> usize {
    match request {
        GatewayRequest::Watch { .. } => 0,
        GatewayRequest::Claim(_) => 1,
        GatewayRequest::Usage(_) => 2,
        GatewayRequest::Runs(_) => 3,
        GatewayRequest::Part(_) => 4,
        GatewayRequest::LimitReports { .. } => 5,
        GatewayRequest::Permit(_) => 6,
        GatewayRequest::Relay(_) => 7,
        GatewayRequest::NoteStreams(_) => 8,
        GatewayRequest::FindStream(_) => 9,
        GatewayRequest::PromptRuns(_) => 10,
        GatewayRequest::FindStreamOf { .. } => 11,
    }
}

fn message_number(message: &Message) -> usize {
    match message {
        Message::RequestVote { .. } => 0,
        Message::VoteReply { .. } => 1,
        Message::Append { .. } => 2,
        Message::AppendReply { .. } => 3,
        Message::SnapshotChunk { .. } => 4,
        Message::SnapshotReply { .. } => 5,
        Message::TimeoutNow => 6,
    }
}

fn payload_number(payload: &EntryPayload) -> usize {
    match payload {
        EntryPayload::Noop => 0,
        EntryPayload::Command(_) => 1,
        EntryPayload::Membership(_) => 2,
    }
}

fn answer_number(answer: &ClaimAnswer) -> usize {
    match answer {
        ClaimAnswer::Granted => 0,
        ClaimAnswer::Held => 1,
        ClaimAnswer::Recorded(_) => 2,
        ClaimAnswer::BodyDiffers => 3,
        ClaimAnswer::Released => 4,
        ClaimAnswer::Full => 5,
        ClaimAnswer::Noted => 6,
    }
}

/// The variants that occur in the samples.
#[derive(Default)]
struct Covered {
    changes: BTreeSet<usize>,
    updates: BTreeSet<usize>,
    replies: BTreeSet<usize>,
    requests: BTreeSet<usize>,
    messages: BTreeSet<usize>,
    payloads: BTreeSet<usize>,
    answers: BTreeSet<usize>,
}

impl Covered {
    fn add_frame(&mut self, frame: &Frame) {
        match frame {
            Frame::Hello { .. } | Frame::Welcome { .. } | Frame::Join(_) => {}
            Frame::Peer(envelope) => {
                self.messages.insert(message_number(&envelope.message));
                if let Message::Append { entries, .. } = &envelope.message {
                    let payloads = entries.iter().map(|entry| payload_number(&entry.payload));
                    self.payloads.extend(payloads);
                }
            }
            Frame::Gateway(request) => {
                self.requests.insert(request_number(request));
            }
            Frame::Control(reply) => self.add_reply(reply),
        }
    }

    fn add_reply(&mut self, reply: &ControlReply) {
        self.replies.insert(reply_number(reply));
        if let ControlReply::Claim { answer, .. } = reply {
            self.answers.insert(answer_number(answer));
        }
        if let ControlReply::Watch { update, .. } = reply {
            self.updates.insert(update_number(update));
            if let WatchUpdate::Changes { changes, .. } = update {
                let changes = changes.iter().map(|(_, change)| change_number(change));
                self.changes.extend(changes);
            }
        }
    }
}

#[test]
fn each_command_has_recorded_bytes() {
    let all = samples::commands()
        .into_iter()
        .chain(samples::commands_since_16())
        .chain(samples::commands_since_17());
    let covered: BTreeSet<usize> = all.map(|(_, command)| command_number(&command)).collect();
    assert_eq!(covered, (0..28).collect());
}

#[test]
fn each_kind_of_frame_has_recorded_bytes() {
    let mut covered = Covered::default();
    let all = samples::frames(EncodingVersion::CURRENT)
        .into_iter()
        .chain(samples::frames_since_16())
        .chain(samples::frames_since_17())
        .chain(samples::frames_since_18())
        .chain(samples::frames_since_19())
        .chain(samples::frames_since_20())
        .chain(samples::frames_since_21());
    all.for_each(|(_, frame)| covered.add_frame(&frame));
    assert_eq!(covered.changes, (0..9).collect());
    assert_eq!(covered.updates, (0..5).collect());
    assert_eq!(covered.replies, (0..13).collect());
    assert_eq!(covered.requests, (0..12).collect());
    assert_eq!(covered.messages, (0..7).collect());
    assert_eq!(covered.payloads, (0..3).collect());
    assert_eq!(covered.answers, (0..7).collect());
}
