//! Parts of prompts that crash engines, at a forwarding gateway.

use garnet_control::{ConfigurationChange, QuarantineRecord, WatchUpdate};
use garnet_forwarding::{Forwarder, Prompt, PromptPart};
use garnet_quarantine::{
    PartId, PartSet, PromptEvidence, PromptReport, QuarantineStatus, RequestFingerprint, Suspects,
    TrackedParts,
};
use garnet_types::{BackendId, EncodingVersion, EngineRole, Millis, ServiceId};
use rstest::rstest;

use crate::fleet::{NOW, configuration, forwarder, record, table};

const FIRST: u64 = 0x5c1e;
const BAD: u64 = 0xbad0;

fn engines(count: usize) -> Forwarder {
    let record = |number| {
        let name = format!("d{number}");
        record(&name, "words", "a", Some(EngineRole::Decode))
    };
    forwarder(&(0..count).map(record).collect::<Vec<_>>())
}

fn prompt(parts: &[u64]) -> Prompt {
    let part = |id: &u64| PromptPart {
        id: *id,
        tokens: 10,
    };
    Prompt {
        parts: parts.iter().map(part).collect(),
        ..Prompt::default()
    }
}

fn bad_set() -> RequestFingerprint {
    PartSet::new(ServiceId::new("words"), vec![PartId(BAD)]).fingerprint()
}

fn request(number: usize) -> RequestFingerprint {
    format!("{number:032x}").parse().expect("a fingerprint")
}

fn crash(gateway: &mut Forwarder, number: usize, now: Millis) {
    let engine = BackendId::new(format!("d{number}"));
    let prompt = prompt(&[FIRST, BAD, number as u64]);
    gateway.prompt_run_crashed(request(number), &prompt, &engine, now);
}

/// The worst status of a request with this prompt.
fn status(gateway: &Forwarder, parts: &[u64]) -> QuarantineStatus {
    let sets = prompt(parts).part_sets(&ServiceId::new("words"));
    let mut statuses = sets.iter().map(|set| gateway.part_set_status(*set));
    let worst = statuses.find(|status| *status != QuarantineStatus::Clear);
    worst.unwrap_or(QuarantineStatus::Clear)
}

fn track(gateway: &mut Forwarder) {
    let tracked = TrackedParts {
        service: ServiceId::new("words"),
        parts: vec![PartId(FIRST), PartId(BAD)],
    };
    let evidence = PromptEvidence {
        tracked: vec![tracked],
        ..PromptEvidence::default()
    };
    gateway.take_prompt_evidence(evidence, NOW);
}

#[test]
fn the_last_part_of_a_prompt_is_never_blamed() {
    let mut gateway = engines(1);
    gateway.take_suspects(Suspects {
        suspected: Vec::new(),
        refused: vec![bad_set()],
    });
    assert_eq!(status(&gateway, &[BAD, 1]), QuarantineStatus::Refused);
    assert_eq!(status(&gateway, &[1, 2, BAD, 3]), QuarantineStatus::Refused);
    assert_eq!(status(&gateway, &[FIRST, BAD]), QuarantineStatus::Clear);
    assert_eq!(status(&gateway, &[BAD]), QuarantineStatus::Clear);
    assert_eq!(status(&gateway, &[]), QuarantineStatus::Clear);
}

#[test]
fn the_configuration_refuses_a_part_until_it_is_released() {
    let mut gateway = engines(1);
    let mut with = configuration(6, table(1, &[("till", 1)]), &[]);
    let until = NOW + Millis::from_secs(60);
    let record = QuarantineRecord { crashes: 5, until };
    with.change(
        6,
        &ConfigurationChange::RequestQuarantined(bad_set(), record),
    );
    gateway.update(WatchUpdate::Snapshot(with.clone().into()));
    assert!(!gateway.has_no_suspects());
    assert_eq!(status(&gateway, &[BAD, 1]), QuarantineStatus::Refused);
    with.change(7, &ConfigurationChange::RequestReleased(bad_set()));
    gateway.update(WatchUpdate::Snapshot(with.into()));
    assert_eq!(status(&gateway, &[BAD, 1]), QuarantineStatus::Clear);
}

#[test]
fn sound_parts_are_reported_when_the_leader_asks() {
    let mut gateway = engines(1);
    let sound = prompt(&[FIRST, 7]);
    gateway.prompt_is_sound(&sound, &BackendId::new("d0"), NOW);
    assert_eq!(gateway.prompt_report(NOW), None);
    track(&mut gateway);
    let report = gateway.prompt_report(NOW).expect("a report");
    let parts: Vec<PartId> = report.sound.iter().map(|sound| sound.part).collect();
    assert_eq!(parts, [PartId(FIRST)]);
}

/// All decode engines crash within a second, so that the path to them is taken for lost: the crashes
/// of the part were withdrawn, and it went on ending engines.
#[test]
fn crashes_of_all_engines_count_although_the_path_is_taken_for_lost() {
    let mut gateway = engines(5);
    for number in 0..5 {
        gateway.path_failed(&BackendId::new(format!("d{number}")), true, NOW);
        crash(&mut gateway, number, NOW);
    }
    for probed in gateway.path_probes(NOW) {
        gateway.path_failed(&probed, false, NOW);
    }
    let report = gateway.prompt_report(NOW + Millis(10)).expect("a report");
    assert_eq!(report.broken.len(), 5);
}

/// A leader of an earlier build takes no such reports, so that the gateway decides alone.
#[rstest]
#[case(EncodingVersion::V11)]
#[case(EncodingVersion::V19)]
fn a_gateway_refuses_a_part_by_its_own_crashes_if_nobody_confirms_them(
    #[case] version: EncodingVersion,
) {
    let mut gateway = engines(5);
    gateway.connected(version, NOW);
    for number in 0..5 {
        crash(&mut gateway, number, NOW);
    }
    gateway.prompt_report(NOW + Millis(2_900));
    assert_eq!(status(&gateway, &[FIRST, BAD, 9]), QuarantineStatus::Clear);
    gateway.prompt_report(NOW + Millis(3_000));
    assert_eq!(
        status(&gateway, &[FIRST, BAD, 9]),
        QuarantineStatus::Refused
    );
    assert_eq!(status(&gateway, &[FIRST, 1, 9]), QuarantineStatus::Clear);
}

#[test]
fn each_report_connection_receives_all_runs_of_prompts() {
    let mut gateway = engines(5);
    gateway.connected(EncodingVersion::V11, NOW);
    crash(&mut gateway, 0, NOW);
    assert_eq!(gateway.prompt_report(NOW), None);
    let count = |report: Option<PromptReport>| report.map_or(0, |report| report.broken.len());
    assert_eq!(count(gateway.next_prompt_report(NOW)), 1);
    gateway.prompt_runs_confirmed(1);
    assert_eq!(count(gateway.next_prompt_report(NOW)), 0);
    gateway.on_leader_change(NOW);
    assert_eq!(count(gateway.next_prompt_report(NOW)), 1);
}
