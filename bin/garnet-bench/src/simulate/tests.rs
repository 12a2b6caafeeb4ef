//! The command that a failure prints.

use garnet_simulator::{FaultKind, Scenario};
use garnet_types::EncodingVersion;
use rstest::rstest;

use super::{fault_numbers, repeat_command, run_scenario};

#[rstest]
#[case::one_build(None, &[3, 5], "all --span-s 40 --only 3,5")]
#[case::two_builds(Some(EncodingVersion::V11), &[0], "all --span-s 40 --build-before 11 --only 0")]
#[case::without_faults(None, &[], "all --span-s 40 --only none")]
#[case::two_builds_without_faults(
    Some(EncodingVersion::V16),
    &[],
    "all --span-s 40 --build-before 16 --only none"
)]
fn a_failure_is_played_again_with_its_builds_and_faults(
    #[case] build_before: Option<EncodingVersion>,
    #[case] fault_numbers: &[u64],
    #[case] expected_end: &str,
) {
    let scenario = Scenario {
        build_before,
        ..Scenario::new(5003, &FaultKind::ALL)
    };
    assert_eq!(
        repeat_command(&scenario, "all", fault_numbers),
        format!("garnet-bench simulate --seeds 5003 --faults {expected_end}")
    );
}

/// With `--only`, the faults keep the numbers in which the seed draws them.
#[rstest]
#[case::all(None, &[0, 2], &[0, 2])]
#[case::some(Some(&[1, 4, 2][..]), &[0, 2], &[1, 4])]
fn faults_keep_their_numbers(
    #[case] only: Option<&[u64]>,
    #[case] kept: &[usize],
    #[case] expected: &[u64],
) {
    let scenario = Scenario {
        most_steps: 0,
        ..Scenario::new(5003, &FaultKind::ALL)
    };
    let drawn = run_scenario(&scenario).faults;
    let played = &drawn[..3];
    let kept: Vec<_> = kept.iter().map(|index| played[*index]).collect();
    assert_eq!(fault_numbers(played, &kept, only), expected);
}
