//! Decisions after the end of an attempt.

use garnet_forwarding::{AttemptEnd, GivenUp, NextMove, NotRunReason, Progress, next_move};
use garnet_routes::WorkKind;
use proptest::prelude::*;
use rstest::rstest;

use crate::fleet::work;

const FULL: AttemptEnd = AttemptEnd::NotRun(NotRunReason::Full);
const REPEAT_ELSEWHERE: NextMove = NextMove::TryAnother { repeat: true };
const TRY_ELSEWHERE: NextMove = NextMove::TryAnother { repeat: false };

#[rstest]
#[case::repeatable_broken(WorkKind::Repeatable, &[AttemptEnd::Broken], REPEAT_ELSEWHERE)]
#[case::repeatable_failed(WorkKind::Repeatable, &[AttemptEnd::Failed], REPEAT_ELSEWHERE)]
#[case::repeatable_twice(WorkKind::Repeatable, &[AttemptEnd::Broken, AttemptEnd::Broken], NextMove::GiveUp(GivenUp::InDoubt))]
#[case::repeatable_failed_twice(WorkKind::Repeatable, &[AttemptEnd::Failed, AttemptEnd::Failed], NextMove::PassOn)]
#[case::once_unsent(WorkKind::AtMostOnce, &[AttemptEnd::Unsent], TRY_ELSEWHERE)]
#[case::once_full(WorkKind::AtMostOnce, &[FULL], REPEAT_ELSEWHERE)]
#[case::once_full_everywhere(WorkKind::AtMostOnce, &[FULL, FULL, FULL], NextMove::GiveUp(GivenUp::NotRun))]
#[case::once_broken(WorkKind::AtMostOnce, &[AttemptEnd::Broken], NextMove::GiveUp(GivenUp::InDoubt))]
#[case::once_failed(WorkKind::AtMostOnce, &[AttemptEnd::Failed], NextMove::PassOn)]
#[case::stream_broken(WorkKind::Stream, &[AttemptEnd::Broken], NextMove::GiveUp(GivenUp::InDoubt))]
#[case::resumable_broken(WorkKind::ResumableStream, &[AttemptEnd::Broken], REPEAT_ELSEWHERE)]
fn next_move_after_attempt_ends(
    #[case] kind: WorkKind,
    #[case] ends: &[AttemptEnd],
    #[case] expected: NextMove,
) {
    let mut progress = Progress::default();
    for end in ends {
        progress.note(*end);
    }
    let last = ends[ends.len() - 1];
    assert_eq!(next_move(&work(kind, None), &progress, last), expected);
}

fn any_end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::Unsent),
        Just(FULL),
        Just(AttemptEnd::NotRun(NotRunReason::Misdirected)),
        Just(AttemptEnd::Broken),
        Just(AttemptEnd::Failed),
    ]
}

proptest! {
    /// For any sequence of ends, work that may run at most once is not sent again after
    /// it may have run, "not run" is reported only if the request has certainly not run,
    /// and every request ends.
    #[test]
    fn at_most_once_and_accurate_give_up(ends in prop::collection::vec(any_end(), 1..20)) {
        for kind in [WorkKind::AtMostOnce, WorkKind::Stream, WorkKind::Repeatable] {
            let mut progress = Progress::default();
            let mut may_have_run = false;
            let mut ended = false;
            for end in &ends {
                progress.note(*end);
                may_have_run |= matches!(end, AttemptEnd::Broken | AttemptEnd::Failed);
                match next_move(&work(kind, None), &progress, *end) {
                    NextMove::TryAnother { .. } => {
                        prop_assert!(kind.may_repeat() || !may_have_run);
                    }
                    NextMove::GiveUp(GivenUp::NotRun) => {
                        prop_assert!(!may_have_run);
                        ended = true;
                    }
                    NextMove::GiveUp(GivenUp::InDoubt) | NextMove::PassOn => {
                        prop_assert!(may_have_run);
                        ended = true;
                    }
                }
                if ended {
                    break;
                }
            }
            prop_assert!(ended || ends.len() < 8, "the request never ends");
        }
    }
}

/// An attempt whose back end is silent counts as one that may have run.
#[rstest]
#[case::repeatable(WorkKind::Repeatable, 0, REPEAT_ELSEWHERE)]
#[case::resumable(WorkKind::ResumableStream, 0, REPEAT_ELSEWHERE)]
#[case::one_has_run_already(WorkKind::ResumableStream, 1, NextMove::GiveUp(GivenUp::InDoubt))]
#[case::at_most_once(WorkKind::AtMostOnce, 0, NextMove::GiveUp(GivenUp::InDoubt))]
#[case::stream(WorkKind::Stream, 0, NextMove::GiveUp(GivenUp::InDoubt))]
fn next_move_beside_a_silent_attempt(
    #[case] kind: WorkKind,
    #[case] ran: u32,
    #[case] expected: NextMove,
) {
    let mut progress = Progress {
        ran,
        ..Progress::default()
    };
    progress.silent_begun();
    let next = next_move(&work(kind, None), &progress, AttemptEnd::Broken);
    assert_eq!(next, expected);
    progress.silent_resumed();
    assert_eq!((progress.ran, progress.silent), (ran, 0));
    progress.silent_begun();
    progress.silent_ended();
    assert_eq!((progress.ran, progress.silent), (ran + 1, 0));
}

/// A step of a request's attempts, as its gateway takes it.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An attempt is sent and ends.
    Attempt(AttemptEnd),
    /// An attempt is sent; its back end becomes silent, and another one is tried beside it.
    Silent,
    /// A silent attempt is awaited again and ends.
    SilentAwaited(AttemptEnd),
    /// A silent attempt is closed.
    SilentClosed,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any_end().prop_map(Step::Attempt),
        Just(Step::Silent),
        any_end().prop_map(Step::SilentAwaited),
        Just(Step::SilentClosed),
    ]
}

/// What is known of the attempts apart from their counts.
#[derive(Default)]
struct Attempts {
    open: usize,
    has_perhaps_run: bool,
}

impl Attempts {
    fn note(&mut self, end: AttemptEnd) {
        self.has_perhaps_run |= matches!(end, AttemptEnd::Broken | AttemptEnd::Failed);
    }

    fn may_have_run(&self) -> bool {
        self.has_perhaps_run || self.open > 0
    }
}

fn take_step(step: Step, progress: &mut Progress, attempts: &mut Attempts) {
    match step {
        Step::Attempt(end) => {
            progress.note(end);
            attempts.note(end);
        }
        Step::Silent => {
            progress.silent_begun();
            attempts.open += 1;
        }
        Step::SilentAwaited(end) if attempts.open > 0 => {
            progress.silent_resumed();
            progress.note(end);
            attempts.open -= 1;
            attempts.note(end);
        }
        Step::SilentClosed if attempts.open > 0 => {
            progress.silent_ended();
            attempts.open -= 1;
            attempts.has_perhaps_run = true;
        }
        Step::SilentAwaited(_) | Step::SilentClosed => {}
    }
}

proptest! {
    /// A request that may have run is not reported as not run, and is not sent again if it may run
    /// once.
    #[test]
    fn a_request_that_may_have_run_is_never_reported_as_not_run(
        steps in prop::collection::vec(any_step(), 0..12),
        end in any_end(),
        kind in prop_oneof![Just(WorkKind::AtMostOnce), Just(WorkKind::Stream)],
    ) {
        let mut progress = Progress::default();
        let mut attempts = Attempts::default();
        for step in steps {
            take_step(step, &mut progress, &mut attempts);
        }
        take_step(Step::Attempt(end), &mut progress, &mut attempts);
        let may_have_run = attempts.may_have_run();
        prop_assert_eq!(progress.given_up() == GivenUp::InDoubt, may_have_run);
        let next = next_move(&work(kind, None), &progress, end);
        if may_have_run {
            let is_tried_again = matches!(next, NextMove::TryAnother { .. });
            prop_assert!(!is_tried_again && next != NextMove::GiveUp(GivenUp::NotRun));
        }
    }
}
