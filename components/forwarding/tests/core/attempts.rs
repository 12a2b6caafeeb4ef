//! What the end of an attempt means.

use garnet_forwarding::{AttemptEnd, GivenUp, NextMove, NotRunReason, Progress, next_move};
use garnet_routes::WorkKind;
use proptest::prelude::*;
use rstest::rstest;

use crate::fleet::work;

const FULL: AttemptEnd = AttemptEnd::NotRun(NotRunReason::Full);
const AGAIN: NextMove = NextMove::TryAnother { repeat: true };
const ELSEWHERE: NextMove = NextMove::TryAnother { repeat: false };

#[rstest]
#[case::repeatable_broken(WorkKind::Repeatable, &[AttemptEnd::Broken], AGAIN)]
#[case::repeatable_failed(WorkKind::Repeatable, &[AttemptEnd::Failed], AGAIN)]
#[case::repeatable_twice(WorkKind::Repeatable, &[AttemptEnd::Broken, AttemptEnd::Broken], NextMove::GiveUp(GivenUp::InDoubt))]
#[case::repeatable_failed_twice(WorkKind::Repeatable, &[AttemptEnd::Failed, AttemptEnd::Failed], NextMove::PassOn)]
#[case::once_unsent(WorkKind::AtMostOnce, &[AttemptEnd::Unsent], ELSEWHERE)]
#[case::once_full(WorkKind::AtMostOnce, &[FULL], AGAIN)]
#[case::once_full_everywhere(WorkKind::AtMostOnce, &[FULL, FULL, FULL], NextMove::GiveUp(GivenUp::NotRun))]
#[case::once_broken(WorkKind::AtMostOnce, &[AttemptEnd::Broken], NextMove::GiveUp(GivenUp::InDoubt))]
#[case::once_failed(WorkKind::AtMostOnce, &[AttemptEnd::Failed], NextMove::PassOn)]
#[case::stream_broken(WorkKind::Stream, &[AttemptEnd::Broken], NextMove::GiveUp(GivenUp::InDoubt))]
#[case::resumable_broken(WorkKind::ResumableStream, &[AttemptEnd::Broken], AGAIN)]
fn after_these_ends(
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
    /// Whatever happens, work that may run once is never sent on after it may
    /// have run, "not run" is said only when it surely did not, and every
    /// request comes to an end.
    #[test]
    fn at_most_once_and_true_promises(ends in prop::collection::vec(any_end(), 1..20)) {
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
            prop_assert!(ended || ends.len() < 8, "it goes on for ever");
        }
    }
}

/// A back end that is silent and kept counts as one that may have run.
#[rstest]
#[case::repeatable(WorkKind::Repeatable, 0, AGAIN)]
#[case::resumable(WorkKind::ResumableStream, 0, AGAIN)]
#[case::one_has_run_already(WorkKind::ResumableStream, 1, NextMove::GiveUp(GivenUp::InDoubt))]
#[case::at_most_once(WorkKind::AtMostOnce, 0, NextMove::GiveUp(GivenUp::InDoubt))]
#[case::stream(WorkKind::Stream, 0, NextMove::GiveUp(GivenUp::InDoubt))]
fn beside_one_that_is_kept(#[case] kind: WorkKind, #[case] ran: u32, #[case] expected: NextMove) {
    let mut progress = Progress {
        ran,
        ..Progress::default()
    };
    progress.note_silent();
    let next = next_move(&work(kind, None), &progress, AttemptEnd::Broken);
    assert_eq!(next, expected);
    progress.silent_resumed();
    assert_eq!((progress.ran, progress.silent), (ran, 0));
    progress.note_silent();
    progress.silent_ended();
    assert_eq!((progress.ran, progress.silent), (ran + 1, 0));
}
