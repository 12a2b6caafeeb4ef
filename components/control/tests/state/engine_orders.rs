//! Orders in the replicated state: at most one for an engine, at most one in a small pool,
//! and never for the last engine of a phase.

use crate::fleet::{assign, engine, observation, pool};
use garnet_control::{Command, CommandAnswer};
use garnet_types::{EngineRole, Fence, MachineState};
use rstest::rstest;

use EngineRole::{Decode, Mixed, Prefill};

fn is_accepted(answer: &CommandAnswer) -> bool {
    matches!(answer, CommandAnswer::Accepted { .. })
}

/// One pass of the reconciler may propose two orders that are each right by themselves.
#[test]
fn two_engines_of_a_pool_are_never_out_at_once() {
    let mut log = pool(&[Prefill, Prefill, Decode, Decode]);
    log.apply(assign(0, Decode));
    log.apply(assign(2, Prefill));
    let first = log.apply(Command::BeginOrder(engine(0)));
    let second = log.apply(Command::BeginOrder(engine(2)));
    assert!(is_accepted(&first));
    assert!(matches!(second, CommandAnswer::Rejected(_)), "{second:?}");
}

#[rstest]
#[case::other_of_each_phase(&[Prefill, Prefill, Decode], true)]
#[case::last_prefill_engine(&[Prefill, Decode, Decode], false)]
#[case::last_decode_engine(&[Decode, Prefill, Prefill], false)]
#[case::mixed_serves_both(&[Prefill, Mixed], true)]
#[case::alone(&[Mixed], false)]
fn an_order_leaves_both_phases_served(#[case] roles: &[EngineRole], #[case] allowed: bool) {
    let mut log = pool(roles);
    log.apply(assign(0, Mixed));
    log.apply(assign(
        0,
        if roles[0] == Prefill { Decode } else { Prefill },
    ));
    let answer = log.apply(Command::BeginOrder(engine(0)));
    assert_eq!(is_accepted(&answer), allowed, "{answer:?}");
}

#[test]
fn an_engine_on_a_leaving_machine_does_not_count_as_serving() {
    let mut log = pool(&[Prefill, Prefill, Decode]);
    log.apply(assign(0, Decode));
    log.apply(Command::SetMachine {
        backend: engine(1),
        state: MachineState::Leaving,
    });
    let answer = log.apply(Command::BeginOrder(engine(0)));
    assert!(!is_accepted(&answer));
}

#[test]
fn an_engine_with_an_order_is_out_of_routing_until_it_settles() {
    let mut log = pool(&[Prefill, Prefill, Decode]);
    log.apply(assign(0, Decode));
    log.apply(Command::BeginOrder(engine(0)));
    let fence = Fence {
        term: crate::fleet::TERM,
        index: log.index,
    };
    assert!(!log.state.configuration.backends[&engine(0)].takes_work());
    let wrong = Fence {
        term: fence.term,
        index: fence.index - 1,
    };
    let settle = |fence| Command::SettleOrder {
        engine: engine(0),
        fence,
        observation: observation(Decode),
    };
    assert!(!is_accepted(&log.apply(settle(wrong))));
    assert!(!log.state.configuration.backends[&engine(0)].takes_work());
    assert!(is_accepted(&log.apply(settle(fence))));
    assert!(log.state.configuration.backends[&engine(0)].takes_work());
}

/// The only engine of a phase crashed and restarted with its initial role: the pool must
/// not lose the phase permanently.
#[rstest]
#[case::no_prefill(&[Prefill, Decode, Decode], Decode)]
#[case::no_decode(&[Decode, Prefill, Prefill], Prefill)]
fn a_lost_phase_can_be_restored(#[case] roles: &[EngineRole], #[case] restarted: EngineRole) {
    let mut log = pool(roles);
    log.apply(assign(0, roles[0]));
    log.apply(Command::Observe {
        engine: engine(0),
        observation: observation(restarted),
    });
    let answer = log.apply(Command::BeginOrder(engine(0)));
    assert!(is_accepted(&answer), "{answer:?}");
    let second = log.apply(Command::BeginOrder(engine(1)));
    assert!(!is_accepted(&second), "still one at a time");
}

#[test]
fn a_second_order_of_an_engine_waits_for_the_first() {
    let mut log = pool(&[Prefill, Prefill, Decode]);
    log.apply(assign(0, Decode));
    assert!(is_accepted(&log.apply(Command::BeginOrder(engine(0)))));
    assert!(!is_accepted(&log.apply(Command::BeginOrder(engine(0)))));
    assert!(!is_accepted(&log.apply(Command::RemoveBackend(engine(0)))));
}

#[test]
fn only_the_outstanding_fence_can_be_renewed() {
    let mut log = pool(&[Prefill, Prefill, Decode]);
    log.apply(assign(0, Decode));
    log.apply(Command::BeginOrder(engine(0)));
    let fence = Fence {
        term: crate::fleet::TERM,
        index: log.index,
    };
    let renew = |replaces| Command::RenewOrder {
        engine: engine(0),
        replaces,
    };
    assert!(is_accepted(&log.apply(renew(fence))));
    assert!(!is_accepted(&log.apply(renew(fence))), "it was replaced");
}

/// A pool without work may change any number of engines at once, as long as the rest serves
/// each phase.
#[test]
fn any_number_of_engines_of_an_idle_pool_are_out_at_once() {
    let mut log = pool(&[Decode, Decode, Decode, Decode, Prefill]);
    let orders = (0..4).map(|number| {
        log.apply(assign(number, Prefill));
        log.apply(Command::BeginIdleOrder(engine(number)))
    });
    let accepted: Vec<bool> = orders.map(|answer| is_accepted(&answer)).collect();
    assert_eq!(accepted, [true, true, true, false], "the last that decodes");
}
