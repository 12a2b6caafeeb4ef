//! Kills, freezes and restarts of replicas: nothing accepted is lost.

use rustix::process::Signal;

use crate::group::Group;

fn assert_kept(group: &Group, names: &[String]) {
    let configuration = group.configuration();
    for name in names {
        assert!(
            configuration.contains(&format!("\"{name}\"")),
            "{name} is lost"
        );
    }
}

#[test]
fn a_killed_leader_is_replaced_and_nothing_is_lost_twice_in_a_row() {
    let mut group = Group::start();
    let mut names = Vec::new();
    for round in 0..2 {
        names.push(format!("before-{round}"));
        group.create_session(&names[names.len() - 1]);
        let leader = group.leader();
        group.kill(leader);
        names.push(format!("after-{round}"));
        group.create_session(&names[names.len() - 1]);
        group.restart(leader);
    }
    assert_kept(&group, &names);
}

/// The frozen leader goes on with its old belief; it must not speak for the
/// group any more.
#[test]
fn a_frozen_leader_is_replaced_and_does_not_bring_old_state_back() {
    let group = Group::start();
    group.create_session("before");
    let frozen = group.leader();
    group.signal(frozen, Signal::STOP);
    group.create_session("while-it-stands");
    group.signal(frozen, Signal::CONT);
    group.create_session("after");
    let names = ["before", "while-it-stands", "after"].map(str::to_owned);
    assert_kept(&group, &names);
}

#[test]
fn a_group_that_is_killed_as_a_whole_after_hundreds_of_changes_has_them_all() {
    let mut group = Group::start();
    let names: Vec<String> = (0..300).map(|number| format!("session-{number}")).collect();
    for name in &names {
        group.create_session(name);
    }
    for place in 0..3 {
        group.kill(place);
    }
    for place in 0..3 {
        group.restart(place);
    }
    assert_kept(&group, &names);
}
