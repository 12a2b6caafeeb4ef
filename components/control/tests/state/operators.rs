//! Commands of operators that race or are resent.

use crate::fleet::{Log, named};
use garnet_control::{Command, CommandAnswer, ControlState, Session};
use garnet_types::{ModelId, ServiceId, SessionId, TenantId};

fn put(document: &str) -> Command {
    Command::PutPolicy {
        name: "urgent".into(),
        document: document.into(),
    }
}

fn session(model: &str) -> Session {
    Session {
        id: SessionId::new("shop"),
        tenant: TenantId::new("studio"),
        service: ServiceId::new("language"),
        model: Some(ModelId::new(model)),
    }
}

#[test]
fn of_two_commands_with_equal_revision_one_wins_and_the_other_gets_the_revision() {
    let mut log = Log::default();
    let first = log.apply_envelope(&named("a-1", Some(0), put("one")));
    let second = log.apply_envelope(&named("b-1", Some(0), put("two")));
    assert_eq!(first, CommandAnswer::Accepted { revision: 1 });
    let conflict = CommandAnswer::Conflict {
        current_revision: 1,
    };
    assert_eq!(second, conflict);
    let kept = &log.state.configuration.policies["urgent"];
    assert_eq!(kept.document, "one");
}

#[test]
fn a_resent_command_gets_its_first_answer_and_changes_nothing() {
    let mut log = Log::default();
    let first = log.apply_envelope(&named("a-1", Some(0), put("one")));
    log.apply_envelope(&named("b-1", Some(1), put("two")));
    let resent = log.apply_envelope(&named("a-1", Some(0), put("one")));
    assert_eq!(first, resent);
    assert_eq!(
        log.state.configuration.policies["urgent"].document, "two",
        "the resent command must not bring the old policy back"
    );
}

#[test]
fn first_answers_survive_a_snapshot() {
    let mut log = Log::default();
    let first = log.apply_envelope(&named("a-1", Some(0), put("one")));
    let conflict_answer = log.apply_envelope(&named("b-1", Some(0), put("two")));
    log.state = ControlState::decode(&log.state.encode().expect("its own format"))
        .expect("a complete snapshot");
    let first_again = log.apply_envelope(&named("a-1", Some(0), put("one")));
    let conflict_answer_again = log.apply_envelope(&named("b-1", Some(0), put("two")));
    assert_eq!(
        (first, conflict_answer),
        (first_again, conflict_answer_again)
    );
}

#[test]
fn a_session_is_created_once_and_never_replaced() {
    let mut log = Log::default();
    log.apply(Command::CreateSession(session("small")));
    let same = log.apply(Command::CreateSession(session("small")));
    let other = log.apply(Command::CreateSession(session("large")));
    assert_eq!(same, CommandAnswer::Accepted { revision: 1 });
    assert!(matches!(other, CommandAnswer::Rejected(_)));
    let kept = &log.state.configuration.sessions[&SessionId::new("shop")];
    assert_eq!(kept, &session("small"));
}

#[test]
fn unknown_sessions_and_policies_are_not_found() {
    let mut log = Log::default();
    let unknown = Command::CloseSession(SessionId::new("nobody"));
    assert_eq!(log.apply(unknown), CommandAnswer::NotFound);
    let policy = Command::WithdrawPolicy("nothing".into());
    assert_eq!(log.apply(policy), CommandAnswer::NotFound);
}
