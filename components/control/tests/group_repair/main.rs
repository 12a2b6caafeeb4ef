//! A group that forms from addresses and mends itself under lost disks,
//! replaced machines, cuts, freezes and losses of everything at once: in
//! virtual time, from a seed.
//!
//! After each trouble the group has its voters again within the time that it
//! has for that, and nothing acknowledged is lost or read back older.

mod machines;
mod metering;
mod platform;
mod world;

use rstest::rstest;
use world::{Trouble, World};

/// Troubles of one run.
const TROUBLES: usize = 12;

#[rstest]
#[case(0)]
#[case(10)]
#[case(20)]
#[case(30)]
fn a_group_mends_itself(#[case] first: u64) {
    for seed in first..first + 10 {
        World::new(seed).run(TROUBLES, &Trouble::ALL);
    }
}

/// A run in which a trouble never struck can't pass for a proof.
#[test]
fn each_trouble_alone_strikes_and_is_mended() {
    for trouble in Trouble::ALL {
        let mut world = World::new(100);
        world.run(4, &[trouble]);
        assert_eq!(world.struck, 4, "{trouble:?}");
    }
}

#[test]
fn a_group_forms_in_any_order_of_start() {
    for seed in 0..20 {
        let mut world = World::new(200 + seed);
        world.settle();
        world.check_whole();
    }
}

/// Usage is told once and exactly, whatever befalls the group, the gateways and
/// the calls: no two reports of a window differ (the platform checks that and
/// its holders), no window is left out, and the sum of what is told is what ran,
/// but for what killed gateways took along.
#[rstest]
#[case::fences_checked(300, true)]
#[case::more_of_them(310, true)]
#[case::fences_ignored(400, false)]
#[case::more_of_those(410, false)]
fn usage_is_told_once_and_exactly(#[case] first: u64, #[case] fences_checked: bool) {
    for seed in first..first + 10 {
        let mut world = World::with_usage(seed, fences_checked);
        world.run(TROUBLES, &Trouble::ALL);
        world.tell_the_rest();
        let duties = world.duties.as_ref().expect("usage is told");
        let windows: Vec<u64> = duties.platform.told.keys().map(|w| w.0).collect();
        let without_gap = windows.is_sorted_by(|left, right| left + 1 == *right);
        assert!(without_gap, "seed {seed}: {windows:?}");
        let told = duties.told();
        let lost = duties.lost_with_gateways + duties.late();
        assert!(
            told <= duties.ran,
            "seed {seed}: {told} told of {}",
            duties.ran
        );
        assert!(
            told + lost >= duties.ran,
            "seed {seed}: {told} + {lost} of {}",
            duties.ran
        );
        let missing = duties.ran - told;
        assert!(
            missing * 50 < duties.ran,
            "seed {seed}: {missing} missing of {}",
            duties.ran
        );
        assert!(
            duties.platform.calls > windows.len(),
            "no call was ever repeated"
        );
    }
}
