//! The budget for buffered bytes: its limit, the shares of large reservations and the part that
//! is for small ones.

use garnet_runtime::byte_budget::MAX_SMALL;
use garnet_runtime::{ByteBudget, ByteBuffer, Reservation};
use garnet_types::ByteCount;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const MB: usize = 1_000_000;
/// The part for large reservations is 70 MB.
const LIMIT: ByteCount = ByteCount(80 * MB);
const STEP: usize = 50_000;
/// What is read from a connection at once.
const MAX_PART_BYTES: usize = 8 * 1024;

/// Grows a reservation until it is refused, and returns its size.
fn fill(reservation: &mut Reservation) -> usize {
    while reservation.resize(reservation.size().0 + STEP).is_ok() {}
    reservation.size().0
}

#[test]
fn sizes_are_written_and_read() {
    assert_eq!(ByteCount::from_megabytes(1.5), ByteCount(1_500_000));
    assert_eq!(ByteCount(1234).to_string(), "1234");
    assert_eq!("1234".parse(), Ok(ByteCount(1234)));
    assert!("12 MB".parse::<ByteCount>().is_err());
    assert!("-1".parse::<ByteCount>().is_err());
}

#[test]
fn a_large_reservation_leaves_as_much_as_it_takes() {
    let budget = ByteBudget::new(LIMIT);
    let mut first = budget.reserve();
    let half = fill(&mut first);
    assert!((35 * MB - STEP..=35 * MB).contains(&half), "{half}");
    let mut second = budget.reserve();
    let quarter = fill(&mut second);
    assert!((17 * MB..=18 * MB).contains(&quarter), "{quarter}");
    drop(first);
    assert!(fill(&mut second) > 2 * quarter - 2 * STEP);
    drop(second);
    assert_eq!(budget.used(), ByteCount(0));
}

#[test]
fn large_reservations_that_grow_together_get_equal_shares() {
    const COUNT: usize = 24;
    let budget = ByteBudget::new(LIMIT);
    let mut all: Vec<Reservation> = (0..COUNT).map(|_| budget.reserve()).collect();
    let mut refused = 0;
    while refused < COUNT {
        refused = 0;
        for reservation in &mut all {
            let larger = reservation.size().0 + STEP;
            refused += usize::from(reservation.resize(larger).is_err());
        }
    }
    let share = 70 * MB / (COUNT + 1);
    for reservation in &all {
        let size = reservation.size().0;
        assert!((share - 2 * STEP..=share + STEP).contains(&size), "{size}");
    }
}

/// Whatever large reservations hold, an eighth of the budget is left to small ones.
#[test]
fn small_reservations_find_room_beside_large_ones() {
    let budget = ByteBudget::new(LIMIT);
    let mut large: Vec<Reservation> = (0..99).map(|_| budget.reserve()).collect();
    large.retain_mut(|reservation| fill(reservation) > MAX_SMALL.0);
    assert!(large.len() > 5, "{} are large", large.len());
    let mut small: Vec<Reservation> = (0..10 * MB / MAX_SMALL.0)
        .map(|_| budget.reserve())
        .collect();
    for reservation in &mut small {
        assert_eq!(reservation.resize(MAX_SMALL.0), Ok(()));
    }
}

/// What requests take beside their bytes leaves the eighth for small reservations free.
#[test]
fn requests_leave_the_part_for_small_reservations() {
    const REQUEST: usize = 50_000;
    let budget = ByteBudget::new(LIMIT);
    let mut requests: Vec<Reservation> = (0..LIMIT.0 / REQUEST).map(|_| budget.reserve()).collect();
    for request in &mut requests {
        request.try_reserve(REQUEST);
    }
    assert_eq!(budget.used(), ByteCount(70 * MB));
    assert_eq!(budget.refusals(), 0);
    let mut small = budget.reserve();
    assert_eq!(small.resize(MAX_SMALL.0), Ok(()));
}

/// Number of answers that are buffered at once.
const FLOODS: usize = 1_000;
/// Number of parts of answers that are buffered, one after the other.
const PARTS: usize = 200_000;
/// Budget of a gateway of 160 MB.
const GATEWAY_LIMIT: ByteCount = ByteCount(60 * MB);
/// What each request reserves beside its answer.
const EXCHANGE_BYTES: usize = 48 * 1024;

/// A thousand answers that grow together filled the budget to its last byte, and a body of one
/// byte was refused.
#[rstest]
fn a_short_reservation_finds_room_beside_a_thousand_small_ones(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let budget = ByteBudget::new(GATEWAY_LIMIT);
    let exchanges: Vec<Reservation> = (0..FLOODS)
        .map(|_| {
            let mut exchange = budget.reserve();
            exchange.try_reserve(EXCHANGE_BYTES);
            exchange
        })
        .collect();
    let mut answers: Vec<ByteBuffer> = (0..FLOODS).map(|_| ByteBuffer::new(&budget)).collect();
    let mut refused = 0;
    for number in 0..PARTS {
        let answer = &mut answers[random.random_range(0..FLOODS)];
        let part = vec![b'x'; random.random_range(1..=MAX_PART_BYTES)];
        // An answer that finds no room is broken off, and the next one begins.
        if answer.extend(&part).is_err() {
            refused += 1;
            *answer = ByteBuffer::new(&budget);
        }
        let mut short = ByteBuffer::new(&budget);
        assert_eq!(short.extend(b"x"), Ok(()), "after {number} parts");
    }
    assert!(refused > FLOODS, "only {refused} answers found no room");
    drop(exchanges);
}

#[test]
fn a_refusal_changes_nothing() {
    let budget = ByteBudget::new(ByteCount(1000));
    let mut buffer = ByteBuffer::new(&budget);
    buffer.extend(&[1; 600]).expect("room");
    let refused = buffer.extend(&[2; 401]).expect_err("no room");
    assert_eq!(refused.wanted, ByteCount(1001));
    assert_eq!(
        refused.to_string(),
        "no room for 1001 bytes in a buffer budget of 1000 bytes, of which 600 are used"
    );
    assert_eq!(budget.used(), ByteCount(600));
    assert_eq!(budget.refusals(), 1);
    buffer
        .extend(&[3; 400])
        .expect("the budget has exactly this room");
    assert_eq!(buffer.len(), 1000);
    assert_eq!(budget.used(), ByteCount(1000));
}

#[test]
fn bytes_hold_their_reservation_until_the_last_reference_is_dropped() {
    let budget = ByteBudget::new(ByteCount(1000));
    let mut buffer = ByteBuffer::new(&budget);
    buffer.extend(b"good").expect("room");
    buffer.extend(b"!").expect("room");
    let bytes = buffer.freeze();
    assert_eq!(&bytes[..], b"good!");
    assert_eq!(budget.used(), ByteCount(5));
    let part = bytes.slice(1..2);
    drop(bytes);
    assert_eq!(budget.used(), ByteCount(5));
    drop(part);
    assert_eq!(budget.used(), ByteCount(0));
    assert!(budget.peak() >= ByteCount(5));
}

proptest! {
    /// Whatever is asked for, the limit holds and every reservation has what it was granted.
    #[test]
    fn reservations_never_exceed_the_limit(
        limit in 0_usize..300_000,
        steps in prop::collection::vec((0_usize..8, 0_usize..200_000, prop::bool::ANY), 1..200),
    ) {
        let budget = ByteBudget::new(ByteCount(limit));
        let mut all: Vec<Reservation> = (0..8).map(|_| budget.reserve()).collect();
        for (idx, wanted, is_dropped) in steps {
            let before = all[idx].size().0;
            if is_dropped {
                all[idx] = budget.reserve();
            } else {
                let resized = all[idx].resize(wanted);
                let expected = if resized.is_ok() { wanted } else { before };
                prop_assert_eq!(all[idx].size(), ByteCount(expected));
                prop_assert!(resized.is_ok() || wanted > before);
            }
            let sum = all.iter().map(|reservation| reservation.size().0).sum();
            prop_assert_eq!(budget.used(), ByteCount(sum));
            prop_assert!(sum <= limit);
            prop_assert!(budget.peak() <= budget.limit());
        }
        drop(all);
        prop_assert_eq!(budget.used(), ByteCount(0));
    }
}
