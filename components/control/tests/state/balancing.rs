//! The leader states roles so that prefill engines and decode engines are in balance.

use crate::leader::Leader;
use garnet_control::{
    BackendRegistration, Backlog, Effect, EngineObservation, EnginePolling, Event, GatewayRequest,
    MachineEntry, PriorityCounts, ReplicaSettings, UNTOLD_START,
};
use garnet_limits::{LimitReport, LimitReports};
use garnet_planner::BalanceSettings;
use garnet_types::{
    BackendId, BackendKind, EngineAssignment, EngineRole, GatewayId, MachineState, Millis, ModelId,
    ServiceId,
};

fn entry(number: usize, role: EngineRole) -> MachineEntry {
    MachineEntry {
        is_preemptible: false,
        registration: BackendRegistration {
            id: BackendId::new(format!("engine-{number}")),
            kind: BackendKind::Engine,
            service: ServiceId::new("words"),
            address: format!("10.1.0.{number}:8080"),
            zone: format!("zone-{}", number % 3),
            start: UNTOLD_START,
        },
        state: MachineState::Live,
        observed: Some(EngineObservation {
            incarnation: number as u64,
            assignment: EngineAssignment {
                role,
                model: ModelId::new("m"),
            },
        }),
    }
}

/// Nine engines over three zones; the first `prefill_engines` prefill.
fn list(prefill_engines: usize) -> Vec<MachineEntry> {
    let role = |number| {
        if number < prefill_engines {
            EngineRole::Prefill
        } else {
            EngineRole::Mixed
        }
    };
    (0..9).map(|number| entry(number, role(number))).collect()
}

fn leader() -> Leader {
    let settings = ReplicaSettings {
        balance: Some(BalanceSettings::default()),
        engine_polling: EnginePolling::WhileOrdered,
        ..Leader::settings()
    };
    let mut leader = Leader::elected(settings, Vec::new());
    leader.persist();
    leader
}

fn watch(uncached: u64, engines: usize) -> Event {
    let backlog = |number| Backlog {
        backend: BackendId::new(format!("engine-{number}")),
        requests: u64::from(uncached > 0),
        uncached: PriorityCounts::at(0, uncached),
        held_tokens: uncached,
    };
    told((0..engines).map(backlog).collect())
}

/// One gateway tells what it has under way.
fn told(backlogs: Vec<Backlog>) -> Event {
    let request = GatewayRequest::Watch {
        gateway: GatewayId::new("gateway-1"),
        configuration_index: 0,
        sent_at: Millis(1),
        group_index: 0,
        mix: Vec::new(),
        backlogs,
        evidence: Vec::new(),
        copies: Vec::new(),
    };
    let connection = 1;
    Event::Gateway {
        connection,
        request,
    }
}

/// The roles stated while a list is read each second.
fn stated(leader: &mut Leader, lists: &[Vec<MachineEntry>], watched: &Event) -> Vec<EngineRole> {
    let mut roles = Vec::new();
    for list in lists {
        leader.handle_event(Event::Machines(list.clone()));
        for _ in 0..4 {
            leader.handle_event(watched.clone());
            let happened = leader.run(Millis(250));
            roles.extend(happened.into_iter().filter_map(|effect| match effect {
                Effect::Balanced { assignment, .. } => Some(assignment.role),
                _ => None,
            }));
        }
    }
    roles
}

#[test]
fn before_any_load_two_thirds_read_and_nothing_is_taken_back() {
    let mut leader = leader();
    let parts = [
        list(4)[..3].to_vec(),
        list(4)[..7].to_vec(),
        list(4),
        list(4),
        list(4),
        list(4),
    ];
    let roles = stated(&mut leader, &parts, &watch(0, 0));
    assert_eq!(roles, [EngineRole::Prefill, EngineRole::Prefill]);
}

/// A pool of which two fifths prefill.
fn pool(engines: usize) -> Vec<MachineEntry> {
    let role = |number| match number % 5 {
        0 | 1 => EngineRole::Prefill,
        _ => EngineRole::Mixed,
    };
    (0..engines)
        .map(|number| entry(number, role(number)))
        .collect()
}

/// The roles stated for such a pool before any load.
fn stated_for(engines: usize) -> usize {
    let lists: Vec<_> = (0..4).map(|_| pool(engines)).collect();
    stated(&mut leader(), &lists, &watch(0, 0)).len()
}

/// Before any load is known, the share of prefill engines is a guess. In a pool
/// of ten thousand engines the guess took 2,500 of them out of service, each for
/// seconds and with its cache, while a few were needed in all.
#[test]
fn a_guess_changes_no_more_engines_in_a_larger_pool() {
    assert_eq!(stated_for(30), 8);
    assert_eq!(stated_for(400), 0);
    assert_eq!(stated_for(800), 0);
}

/// Back ends that a leader looks at in five seconds in which nothing happens.
fn looked_at(engines: usize) -> u64 {
    let mut leader = leader();
    let lists: Vec<_> = (0..4).map(|_| pool(engines)).collect();
    stated(&mut leader, &lists, &watch(0, 0));
    let before = leader.replica.inspected_backends();
    leader.run(Millis::from_secs(5));
    leader.replica.inspected_backends() - before
}

/// The leader of ten thousand engines looked at each of them twenty times a
/// second, with a copy of its name each time, also while nothing happened.
#[test]
fn a_leader_looks_at_nothing_while_nothing_happens() {
    assert_eq!(looked_at(400), looked_at(800));
}

/// Roles stated when one engine of a loaded pool is replaced by one of another role.
fn stated_for_a_newcomer(engines: usize) -> usize {
    let mut leader = leader();
    let before = pool(engines);
    let loaded = watch(4_000, engines / 10);
    stated(&mut leader, &vec![before.clone(); 3], &loaded);
    let mut after = before;
    after[0].state = MachineState::Leaving;
    after.push(entry(engines + 1, EngineRole::Mixed));
    stated(&mut leader, &vec![after; 3], &loaded).len()
}

/// While a pool's engines are replaced one after the other, each that came changed its
/// role so that the share of prefill engines held to the last one of thousands.
#[test]
fn one_engine_of_hundreds_changes_no_role() {
    assert_eq!(stated_for_a_newcomer(40), 1);
    assert_eq!(stated_for_a_newcomer(400), 0);
}

#[test]
fn a_new_leader_under_load_does_not_begin_anew() {
    let mut leader = leader();
    let light = watch(0, 5);
    let lists = vec![list(4); 3];
    let roles = stated(&mut leader, &lists, &light);
    // No prompt is prefilled, but requests run: the split that stands is kept.
    let busy = watch(50, 2);
    let mut other = self::leader();
    let kept = stated(&mut other, &lists, &busy);
    assert_eq!(roles.len(), 2);
    assert_eq!(kept, []);
}

#[test]
fn the_last_generator_of_a_zone_stays() {
    let mut leader = leader();
    let busy = watch(9000, 6);
    // Engines 6, 7 and 8 generate, one in each zone; all prefill engines are busy.
    let roles = stated(&mut leader, &vec![list(6); 20], &busy);
    assert_eq!(roles, []);
}

/// Every third engine generates, and has so many requests of 2,000 tokens; the
/// others read prompts or rest.
fn mix(prefill: bool, requests: u64) -> Event {
    let backlog = |number: usize| {
        let generates = number >= 6;
        Backlog {
            backend: BackendId::new(format!("engine-{number}")),
            requests: if generates { requests } else { 1 },
            uncached: PriorityCounts::at(0, u64::from(!generates && prefill) * 9_000),
            held_tokens: if generates { requests * 2_000 } else { 9_000 },
        }
    };
    told((0..9).map(backlog).collect())
}

#[test]
fn the_first_swing_of_a_mix_takes_no_engine_from_the_next() {
    let mut leader = leader();
    // 60 of 64 slots are taken, and nothing is prefilled for ten seconds.
    let swing = mix(false, 60);
    assert_eq!(stated(&mut leader, &vec![list(6); 10], &swing), []);
}

#[test]
fn a_load_that_stays_moves_engines() {
    let mut leader = leader();
    // Twice as many requests as slots, for six minutes.
    let stays = mix(false, 128);
    let roles = stated(&mut leader, &vec![list(6); 360], &stays);
    assert_eq!(roles.first(), Some(&EngineRole::Mixed), "{roles:?}");
}

/// Twelve engines of which eight prefill, and six more that all decode.
fn grown_list() -> Vec<MachineEntry> {
    let role = |number| match number {
        0..8 => EngineRole::Prefill,
        _ => EngineRole::Mixed,
    };
    (0..18).map(|number| entry(number, role(number))).collect()
}

/// Engines that come under load bring a split of their own: so many of them
/// change that the pool keeps its share.
#[test]
fn engines_that_come_keep_the_share_of_the_phases() {
    let mut leader = leader();
    let light = watch(50, 2);
    let before = vec![grown_list()[..12].to_vec(); 3];
    assert_eq!(stated(&mut leader, &before, &light), []);
    let roles = stated(&mut leader, &vec![grown_list(); 3], &light);
    assert_eq!(roles, [EngineRole::Prefill; 4]);
}

/// One that is replaced by another of the same role changes nothing.
#[test]
fn an_engine_that_is_replaced_changes_no_role() {
    let mut leader = leader();
    let light = watch(50, 2);
    let all = grown_list();
    stated(&mut leader, &vec![all[..12].to_vec(); 3], &light);
    let mut replaced = all[1..12].to_vec();
    replaced.push(entry(20, EngineRole::Prefill));
    assert_eq!(stated(&mut leader, &vec![replaced; 3], &light), []);
}

/// The engines that are out for an order after a list of decode engines was
/// read for some seconds.
fn out_of_service(watched: &Event) -> usize {
    let mut leader = leader();
    let all_decode = || list(1);
    let lists = vec![all_decode(); 5];
    stated(&mut leader, &lists, watched);
    let backends = &leader.replica.state().configuration.backends;
    backends.values().filter(|r| r.order.is_some()).count()
}

/// Before any load five of eight decode engines change at once; under load no
/// more than a quarter of the pool is out.
#[test]
fn an_idle_pool_changes_roles_at_once() {
    assert_eq!(out_of_service(&watch(0, 0)), 5);
    assert!(out_of_service(&watch(9_000, 9)) <= 2);
}

/// Sixty engines in three zones, of which forty prefill.
fn large_pool() -> Vec<MachineEntry> {
    let role = |number| {
        if number < 40 {
            EngineRole::Prefill
        } else {
            EngineRole::Mixed
        }
    };
    (0..60).map(|number| entry(number, role(number))).collect()
}

/// Every prefill engine is busy, and the others hold a few requests each.
fn long_prompts() -> Event {
    let backlog = |number: usize| Backlog {
        backend: BackendId::new(format!("engine-{number}")),
        requests: 3,
        uncached: PriorityCounts::at(0, if number < 40 { 9_000 } else { 0 }),
        held_tokens: 9_000,
    };
    told((0..60).map(backlog).collect())
}

#[test]
fn a_large_pool_follows_a_swing_within_seconds() {
    let mut leader = leader();
    let roles = stated(&mut leader, &vec![large_pool(); 8], &long_prompts());
    // One engine in twelve at a time, and no decode engine but those of which a
    // swing leaves enough.
    assert!(roles.len() >= 5, "{roles:?}");
    assert!(roles.iter().all(|role| *role == EngineRole::Prefill));
}

/// All engines that generate say that they take one request a second, and prompts
/// are read by six others for nobody: a limit makes an engine no capacity of its
/// phase. Before, no role was stated while callers were refused.
#[test]
fn engines_with_a_limit_are_no_capacity_of_their_phase() {
    let mut leader = leader();
    let lists: Vec<_> = (0..6).map(|_| list(6)).collect();
    assert_eq!(stated(&mut leader, &lists, &watch(4_000, 6)), []);
    for number in 6..9 {
        leader.handle_event(limited(number, Some("1")));
    }
    let roles = stated(&mut leader, &lists, &watch(4_000, 6));
    assert_eq!(roles.first(), Some(&EngineRole::Mixed));
}

fn limited(number: u64, rate: Option<&str>) -> Event {
    let report = LimitReport {
        backend: BackendId::new(format!("engine-{number}")),
        start: number,
        rate: rate.map(|rate| rate.parse().expect("a rate")),
        ago: Millis::ZERO,
    };
    let reports = LimitReports {
        number,
        reports: vec![report],
    };
    let gateway = GatewayId::new("gateway-1");
    Event::Gateway {
        connection: 1,
        request: GatewayRequest::LimitReports { gateway, reports },
    }
}
