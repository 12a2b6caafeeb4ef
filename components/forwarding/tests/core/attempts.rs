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
