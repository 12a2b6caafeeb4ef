//! The digest of load and health that the leader sends to all gateways.

use garnet_control::{
    BackendListHash, BackendRegistration, BackendState, Backlog, Command, ControlReply, Effect,
    Event, Evidence, GatewayDigest, GatewayRequest, LoadDigest, PositionedState, PriorityCounts,
    UNKNOWN_START,
};
use garnet_types::{BackendId, BackendKind, GatewayId, Millis, ServiceId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use crate::leader::Leader;

/// Time between two reports of a gateway.
const INTERVAL: Millis = Millis(100);
/// Number of back ends of the service.
const BACKENDS: usize = 6;
const NONE_FAILING: [usize; 0] = [];

fn id(number: usize) -> BackendId {
    BackendId::new(format!("b-{number}"))
}

fn ids() -> Vec<BackendId> {
    (0..BACKENDS).map(id).collect()
}

fn leader() -> Leader {
    let registration = |number| BackendRegistration {
        id: id(number),
        kind: BackendKind::Application,
        service: ServiceId::new("till"),
        address: format!("10.1.0.{number}:8080"),
        zone: "a".to_owned(),
        start: UNKNOWN_START,
    };
    let put = |number| Command::PutBackend(registration(number));
    let mut leader = Leader::elected(Leader::settings(), (0..BACKENDS).map(put).collect());
    leader.persist();
    let _answers = leader.replica.take_effects();
    leader
}

fn backlog(number: usize, requests: u64, tokens: u64) -> Backlog {
    Backlog {
        backend: id(number),
        requests,
        uncached: PriorityCounts::at(3, tokens),
        held_tokens: tokens,
    }
}

fn evidence(number: usize, answered: u32, failed: u32) -> Evidence {
    Evidence {
        backend: id(number),
        answered,
        failed,
        unreachable: 0,
    }
}

fn watch(
    leader: &mut Leader,
    gateway: &str,
    backlogs: Vec<Backlog>,
    evidence: Vec<Evidence>,
) -> Option<GatewayDigest> {
    let request = GatewayRequest::Watch {
        gateway: GatewayId::new(gateway),
        configuration_index: 1,
        sent_at: leader.now,
        group_index: u64::MAX,
        mix: Vec::new(),
        backlogs,
        evidence,
        copies: Vec::new(),
    };
    let effects = leader.handle_event(Event::Gateway {
        connection: 1,
        request,
    });
    effects
        .into_iter()
        .find_map(|effect| match effect {
            Effect::ReplyGateway {
                reply: ControlReply::Watch { digest, .. },
                ..
            } => Some(digest),
            _ => None,
        })
        .expect("an answer")
}

fn states(sent_digest: &GatewayDigest) -> Vec<BackendState> {
    let members = BackendListHash::of(ids().iter());
    let positioned = sent_digest
        .digest
        .states(members)
        .expect("the same back ends");
    let mut states = vec![BackendState::default(); BACKENDS];
    for PositionedState { position, state } in positioned {
        states[position] = state;
    }
    states
}

/// Each of `gateways` reports `outcomes` in each of `rounds`; returns which back ends are
/// failing then.
fn failing_after(
    leader: &mut Leader,
    gateways: usize,
    rounds: usize,
    outcomes: impl Fn(usize) -> Vec<Evidence>,
) -> Vec<usize> {
    let mut last = None;
    for _ in 0..rounds {
        leader.run(INTERVAL);
        for gateway in 0..gateways {
            let name = format!("gateway-{gateway}");
            last = watch(leader, &name, Vec::new(), outcomes(gateway)).or(last);
        }
    }
    leader.run(INTERVAL);
    let newest = watch(leader, "asks", Vec::new(), Vec::new()).or(last);
    let states = states(&newest.expect("a digest"));
    let failing = states.iter().enumerate().filter(|(_, s)| s.is_failing);
    failing.map(|(number, _)| number).collect()
}

#[test]
fn all_are_sent_the_same_bytes_and_each_the_time_of_its_own_report() {
    let mut leader = leader();
    let first_sent = leader.now;
    watch(&mut leader, "a", vec![backlog(1, 2, 6_400)], Vec::new());
    watch(&mut leader, "b", vec![backlog(1, 1, 640)], Vec::new());
    leader.run(INTERVAL);
    // The digest is made in answer to this report and includes it.
    let second_sent = leader.now;
    let to_a = watch(&mut leader, "a", vec![backlog(1, 3, 64_000)], Vec::new()).expect("new");
    let to_b = watch(&mut leader, "b", Vec::new(), Vec::new()).expect("new to b");
    assert_eq!(to_a.digest, to_b.digest);
    assert_eq!(to_a.counted, Some(second_sent));
    assert_eq!(to_b.counted, Some(first_sent));
    let state = states(&to_a)[1];
    assert_eq!((state.requests, state.held_tokens), (4, 64_640));
    assert_eq!(state.uncached, PriorityCounts::at(3, 64_640));
    // No gateway is sent the same digest twice.
    assert_eq!(watch(&mut leader, "a", Vec::new(), Vec::new()), None);
}

#[test]
fn work_of_a_silent_gateway_no_longer_counts() {
    let mut leader = leader();
    watch(&mut leader, "a", vec![backlog(1, 2, 6_400)], Vec::new());
    leader.run(Millis(1500));
    let sent_to_b = watch(&mut leader, "b", Vec::new(), Vec::new()).expect("new to b");
    assert_eq!(states(&sent_to_b)[1], BackendState::default());
}

#[test]
fn a_back_end_that_fails_several_gateways_is_failing_for_all() {
    let mut leader = leader();
    let outcomes = |_| vec![evidence(2, 0, 1), evidence(3, 1, 0)];
    assert_eq!(failing_after(&mut leader, 2, 1, outcomes), [2]);
}

#[test]
fn failures_at_a_single_gateway_mark_no_back_end_as_failing() {
    let mut leader = leader();
    let broken_path = |gateway| match gateway {
        0 => (0..BACKENDS).map(|number| evidence(number, 0, 3)).collect(),
        _ => Vec::new(),
    };
    assert_eq!(failing_after(&mut leader, 3, 5, broken_path), NONE_FAILING);
}

#[test]
fn failures_common_to_all_back_ends_mark_none_as_failing() {
    let mut leader = leader();
    let outcomes = |_| (0..BACKENDS).map(|n| evidence(n, 3, 2)).collect();
    assert_eq!(failing_after(&mut leader, 4, 5, outcomes), NONE_FAILING);
}

#[rstest]
#[case::few_failures(9, 1, false)]
#[case::half(1, 1, true)]
#[case::nearly_all(1, 9, true)]
fn a_back_end_is_failing_above_a_fraction_of_failed_requests(
    #[case] answered: u32,
    #[case] failed: u32,
    #[case] is_failing: bool,
) {
    let mut leader = leader();
    let outcomes = |_| {
        let healthy = (1..BACKENDS).map(|number| evidence(number, 10, 0));
        healthy.chain([evidence(0, answered, failed)]).collect()
    };
    let failing = failing_after(&mut leader, 3, 5, outcomes);
    assert_eq!(failing.contains(&0), is_failing, "{failing:?}");
}

#[test]
fn a_failing_back_end_recovers_when_it_answers() {
    let mut leader = leader();
    assert_eq!(
        failing_after(&mut leader, 3, 5, |_| vec![evidence(0, 0, 1)]),
        [0]
    );
    // One request a second probes it.
    let tried = |gateway| match gateway {
        0 => vec![evidence(0, 1, 0)],
        _ => Vec::new(),
    };
    assert_eq!(failing_after(&mut leader, 3, 50, tried), NONE_FAILING);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(22), ..ProptestConfig::default() })]

    /// Tokens are rounded down by less than one unit, and an entry stays small.
    #[test]
    fn a_digest_holds_what_was_reported(
        requests in 0_u64..200,
        tokens in proptest::collection::vec(0_u64..60_000, 3),
        held in 0_u64..400_000,
    ) {
        let mut uncached = PriorityCounts::default();
        for (priority, tokens) in (0_u8..).zip(&tokens) {
            uncached.add(priority * 4, *tokens);
        }
        let mut leader = leader();
        let reported = Backlog { backend: id(4), requests, uncached, held_tokens: held };
        let newest = watch(&mut leader, "a", vec![reported], Vec::new()).expect("a digest");
        let state = states(&newest)[4];
        prop_assert_eq!(state.requests, requests);
        prop_assert!(state.held_tokens <= held && held - state.held_tokens < 64);
        for ((_, kept), (_, sent)) in state.uncached.iter().zip(uncached.iter()) {
            prop_assert!(kept <= sent && sent - kept < 64);
        }
        prop_assert!(newest.digest.len_bytes() <= BACKENDS * 4 + 20);
    }
}

#[test]
fn a_digest_of_other_back_ends_is_ignored() {
    let mut leader = leader();
    let newest = watch(&mut leader, "a", Vec::new(), Vec::new()).expect("a digest");
    let other_list = BackendListHash::of(ids().iter().skip(1));
    assert_eq!(newest.digest.states(other_list), None);
}

#[test]
fn a_members_hash_is_read_back() {
    let members = BackendListHash::of(ids().iter());
    assert_eq!(members.to_string().parse(), Ok(members));
    assert!("no hash".parse::<BackendListHash>().is_err());
}

/// A digest of `backends` back ends, of which one in `one_of` has work.
fn digest_of(backends: usize, one_of: usize) -> LoadDigest {
    let ids: Vec<BackendId> = (0..backends).map(id).collect();
    let state = |position: usize| match position % one_of {
        0 => BackendState {
            requests: 3,
            uncached: PriorityCounts::at(2, 6_400),
            held_tokens: 64_000,
            is_failing: false,
        },
        _ => BackendState::default(),
    };
    LoadDigest::encode(BackendListHash::of(ids.iter()), (0..backends).map(state))
}

/// Of ten thousand engines a few hundred have work. Regression: a digest with an entry for
/// every engine was so long that it was seconds old at the rate at which a gateway may be
/// sent digests.
#[test]
fn a_digest_grows_with_the_work_and_not_with_the_fleet() {
    let small = digest_of(2_000, 20).len_bytes();
    let large = digest_of(4_000, 40).len_bytes();
    assert_eq!(small, large);
    assert!(small <= 100 * 14, "{small} bytes for 100 busy back ends");
}

#[test]
fn a_digest_gives_the_positions_of_its_back_ends() {
    let ids: Vec<BackendId> = (0..100).map(id).collect();
    let members = BackendListHash::of(ids.iter());
    let busy = digest_of(100, 30)
        .states(members)
        .expect("the same back ends");
    let positions: Vec<usize> = busy.iter().map(|entry| entry.position).collect();
    assert_eq!(positions, [0, 30, 60, 90]);
    assert!(busy.iter().all(|entry| entry.state.requests == 3));
}
