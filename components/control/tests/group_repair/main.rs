//! A control group that forms from addresses and repairs itself after lost disks, replaced
//! machines, network partitions, freezes and a power loss of all machines, in virtual time
//! from a seed.
//!
//! After each fault the group must have all its voters again within the time allowed for
//! the repair, and nothing acknowledged may be lost or read back older.

mod machines;
mod metering;
mod platform;
mod world;

use rstest::rstest;
use world::{Fault, World};

/// Number of faults in one run.
const FAULTS: usize = 12;

#[rstest]
#[case(0)]
#[case(10)]
#[case(20)]
#[case(30)]
fn a_group_repairs_itself(#[case] first: u64) {
    for seed in first..first + 10 {
        World::new(seed).run(FAULTS, &Fault::ALL);
    }
}

/// Guards against runs that pass because a fault was never injected.
#[test]
fn each_fault_alone_is_injected_and_repaired() {
    for fault in Fault::ALL {
        let mut world = World::new(100);
        world.run(4, &[fault]);
        assert_eq!(world.injected, 4, "{fault:?}");
    }
}

#[test]
fn a_group_forms_in_any_order_of_start() {
    for seed in 0..20 {
        let mut world = World::new(200 + seed);
        world.wait_for_repair();
        world.check_group();
    }
}

/// Usage is reported exactly once, whatever fails in the group, the gateways and the calls:
/// no two reports of a window differ and no token has two holders (the platform checks
/// both), no window is left out, and the reported sum is the number of requests that ran,
/// except for those lost with killed gateways.
#[rstest]
#[case::fences_checked(300, true)]
#[case::fences_checked_more_seeds(310, true)]
#[case::fences_ignored(400, false)]
#[case::fences_ignored_more_seeds(410, false)]
fn usage_is_reported_once_and_exactly(#[case] first: u64, #[case] fences_checked: bool) {
    for seed in first..first + 10 {
        let mut world = World::with_usage(seed, fences_checked);
        world.run(FAULTS, &Fault::ALL);
        world.report_remaining_usage();
        let duties = world.duties.as_ref().expect("usage is reported");
        let windows: Vec<u64> = duties.platform.reported.keys().map(|w| w.0).collect();
        let is_contiguous = windows.is_sorted_by(|left, right| left + 1 == *right);
        assert!(is_contiguous, "seed {seed}: {windows:?}");
        let reported = duties.reported();
        let lost = duties.lost_with_gateways + duties.late();
        assert!(
            reported <= duties.ran,
            "seed {seed}: {reported} reported of {}",
            duties.ran
        );
        assert!(
            reported + lost >= duties.ran,
            "seed {seed}: {reported} + {lost} of {}",
            duties.ran
        );
        let missing = duties.ran - reported;
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
