//! A group that forms from addresses and mends itself under lost disks,
//! replaced machines, cuts, freezes and losses of everything at once: in
//! virtual time, from a seed.
//!
//! After each trouble the group has its voters again within the time that it
//! has for that, and nothing acknowledged is lost or read back older.

mod machines;
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
