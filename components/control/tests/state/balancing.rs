//! The leader assigns roles so that prefill engines and decode engines are in balance.

use crate::leader::Leader;
use garnet_control::{
    BackendRegistration, Backlog, Effect, EngineObservation, EnginePolling, Event, GatewayRequest,
    MachineEntry, PriorityCounts, ReplicaSettings, UNKNOWN_START,
};
use garnet_limits::{LimitReport, LimitReports};
use garnet_planner::BalanceSettings;
use garnet_types::{
    BackendId, BackendKind, BuildId, EngineAssignment, EngineRole, GatewayId, MachineState, Millis,
    ModelId, ServiceId,
};

fn entry(number: usize, role: EngineRole) -> MachineEntry {
    MachineEntry {
        is_preemptible: false,
        build: BuildId::default(),
        registration: BackendRegistration {
            id: BackendId::new(format!("engine-{number}")),
            kind: BackendKind::Engine,
            service: ServiceId::new("words"),
            address: format!("10.1.0.{number}:8080"),
            zone: format!("zone-{}", number % 3),
            start: UNKNOWN_START,
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
    report_of((0..engines).map(backlog).collect())
}

/// One gateway reports its work in flight.
fn report_of(backlogs: Vec<Backlog>) -> Event {
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

/// The roles that the leader assigns while it reads one of the lists each second.
fn assigned_roles(
    leader: &mut Leader,
    lists: &[Vec<MachineEntry>],
    watch_event: &Event,
) -> Vec<EngineRole> {
    let mut roles = Vec::new();
    for list in lists {
        leader.handle_event(Event::Machines(list.clone()));
        for _ in 0..4 {
            leader.handle_event(watch_event.clone());
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
fn before_any_load_two_thirds_prefill_and_none_changes_back() {
    let mut leader = leader();
    let parts = [
        list(4)[..3].to_vec(),
        list(4)[..7].to_vec(),
        list(4),
        list(4),
        list(4),
        list(4),
    ];
    let roles = assigned_roles(&mut leader, &parts, &watch(0, 0));
    assert_eq!(roles, [EngineRole::Prefill, EngineRole::Prefill]);
}

/// A pool of which two fifths are prefill engines.
fn pool(engines: usize) -> Vec<MachineEntry> {
    let role = |number| match number % 5 {
        0 | 1 => EngineRole::Prefill,
        _ => EngineRole::Mixed,
    };
    (0..engines)
        .map(|number| entry(number, role(number)))
        .collect()
}

/// Number of roles assigned in such a pool before any load.
fn assigned_count(engines: usize) -> usize {
    let lists: Vec<_> = (0..4).map(|_| pool(engines)).collect();
    assigned_roles(&mut leader(), &lists, &watch(0, 0)).len()
}

/// Before any load is known, the share of prefill engines is a guess. Regression: in a pool
/// of ten thousand engines it took 2,500 of them out of service for seconds, which lost
/// their caches, although a few changes were enough.
#[test]
fn the_initial_share_changes_no_more_engines_in_a_larger_pool() {
    assert_eq!(assigned_count(30), 8);
    assert_eq!(assigned_count(400), 0);
    assert_eq!(assigned_count(800), 0);
}

/// Number of back ends that a leader examines in five idle seconds.
fn examined_backends(engines: usize) -> u64 {
    let mut leader = leader();
    let lists: Vec<_> = (0..4).map(|_| pool(engines)).collect();
    assigned_roles(&mut leader, &lists, &watch(0, 0));
    let before = leader.replica.inspected_backends();
    leader.run(Millis::from_secs(5));
    leader.replica.inspected_backends() - before
}

/// Regression: the leader of ten thousand engines examined each of them twenty times a
/// second, with a copy of its name each time, also while nothing happened.
#[test]
fn an_idle_leader_examines_no_back_ends() {
    assert_eq!(examined_backends(400), examined_backends(800));
}

/// Number of roles assigned when one engine of a loaded pool is replaced by one of another
/// role.
fn assigned_count_for_a_newcomer(engines: usize) -> usize {
    let mut leader = leader();
    let before = pool(engines);
    let loaded = watch(4_000, engines / 10);
    assigned_roles(&mut leader, &vec![before.clone(); 3], &loaded);
    let mut after = before;
    after[0].state = MachineState::Leaving;
    after.push(entry(engines + 1, EngineRole::Mixed));
    assigned_roles(&mut leader, &vec![after; 3], &loaded).len()
}

/// Regression: while the engines of a pool of thousands were replaced one by one, each new
/// engine changed its role to keep the share of prefill engines exact.
#[test]
fn one_engine_of_hundreds_changes_no_role() {
    assert_eq!(assigned_count_for_a_newcomer(40), 1);
    assert_eq!(assigned_count_for_a_newcomer(400), 0);
}

#[test]
fn a_new_leader_under_load_keeps_the_current_split() {
    let mut leader = leader();
    let idle = watch(0, 5);
    let lists = vec![list(4); 3];
    let roles = assigned_roles(&mut leader, &lists, &idle);
    // The load is small, and the initial share only applies to a pool without load.
    let busy = watch(50, 2);
    let mut other = self::leader();
    let kept = assigned_roles(&mut other, &lists, &busy);
    assert_eq!(roles.len(), 2);
    assert_eq!(kept, []);
}

#[test]
fn the_last_decode_engine_of_a_zone_stays() {
    let mut leader = leader();
    let busy = watch(9000, 6);
    // Engines 6, 7 and 8 decode, one in each zone; all prefill engines are busy.
    let roles = assigned_roles(&mut leader, &vec![list(6); 20], &busy);
    assert_eq!(roles, []);
}

/// The last three of nine engines decode `requests` requests of 2,000 tokens each; the
/// others prefill if `prefill` is set.
fn mix(prefill: bool, requests: u64) -> Event {
    let backlog = |number: usize| {
        let decodes = number >= 6;
        Backlog {
            backend: BackendId::new(format!("engine-{number}")),
            requests: if decodes { requests } else { 1 },
            uncached: PriorityCounts::at(0, u64::from(!decodes && prefill) * 9_000),
            held_tokens: if decodes { requests * 2_000 } else { 9_000 },
        }
    };
    report_of((0..9).map(backlog).collect())
}

#[test]
fn the_first_swing_of_a_mix_takes_no_engine_from_the_next() {
    let mut leader = leader();
    // 60 of 64 slots are occupied, and nothing is prefilled for ten seconds.
    let swing = mix(false, 60);
    assert_eq!(assigned_roles(&mut leader, &vec![list(6); 10], &swing), []);
}

#[test]
fn a_lasting_load_changes_roles() {
    let mut leader = leader();
    // Twice as many requests as slots, for six minutes.
    let lasting = mix(false, 128);
    let roles = assigned_roles(&mut leader, &vec![list(6); 360], &lasting);
    assert_eq!(roles.first(), Some(&EngineRole::Mixed), "{roles:?}");
}

/// Twelve engines, eight of them prefill engines, and six more decode engines.
fn grown_list() -> Vec<MachineEntry> {
    let role = |number| match number {
        0..8 => EngineRole::Prefill,
        _ => EngineRole::Mixed,
    };
    (0..18).map(|number| entry(number, role(number))).collect()
}

/// Engines that are added under load have roles in another proportion: as many of them
/// change as are needed for the pool to keep its share.
#[test]
fn added_engines_keep_the_share_of_the_phases() {
    let mut leader = leader();
    let light = watch(50, 2);
    let before = vec![grown_list()[..12].to_vec(); 3];
    assert_eq!(assigned_roles(&mut leader, &before, &light), []);
    let roles = assigned_roles(&mut leader, &vec![grown_list(); 3], &light);
    assert_eq!(roles, [EngineRole::Prefill; 4]);
}

/// Replacing an engine by one of the same role changes nothing.
#[test]
fn an_engine_that_is_replaced_changes_no_role() {
    let mut leader = leader();
    let light = watch(50, 2);
    let all = grown_list();
    assigned_roles(&mut leader, &vec![all[..12].to_vec(); 3], &light);
    let mut replaced = all[1..12].to_vec();
    replaced.push(entry(20, EngineRole::Prefill));
    assert_eq!(assigned_roles(&mut leader, &vec![replaced; 3], &light), []);
}

/// Number of engines with an outstanding order after a list of decode engines was read for
/// some seconds.
fn out_of_service(watch_event: &Event) -> usize {
    let mut leader = leader();
    let all_decode = || list(1);
    let lists = vec![all_decode(); 5];
    assigned_roles(&mut leader, &lists, watch_event);
    let backends = &leader.replica.state().configuration.backends;
    backends.values().filter(|r| r.order.is_some()).count()
}

/// Before any load five of eight decode engines change at once; under load at most a
/// quarter of the pool is out of routing.
#[test]
fn an_idle_pool_changes_roles_at_once() {
    assert_eq!(out_of_service(&watch(0, 0)), 5);
    assert!(out_of_service(&watch(9_000, 9)) <= 2);
}

/// Sixty engines in three zones, forty of them prefill engines.
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
    report_of((0..60).map(backlog).collect())
}

#[test]
fn a_large_pool_adapts_to_a_swing_within_seconds() {
    let mut leader = leader();
    let roles = assigned_roles(&mut leader, &vec![large_pool(); 8], &long_prompts());
    // At most one engine in twelve changes at a time, and only as many decode engines as
    // the expected swing allows.
    assert!(roles.len() >= 5, "{roles:?}");
    assert!(roles.iter().all(|role| *role == EngineRole::Prefill));
}

/// All decode engines state a limit of one request per second, so the prefills of the six
/// other engines are of no use: an engine with such a limit does not count as capacity of
/// its phase. Regression: no role was assigned although callers were refused.
#[test]
fn engines_with_a_limit_do_not_count_as_capacity() {
    let mut leader = leader();
    let lists: Vec<_> = (0..6).map(|_| list(6)).collect();
    assert_eq!(assigned_roles(&mut leader, &lists, &watch(4_000, 6)), []);
    for number in 6..9 {
        leader.handle_event(limited(number, Some("1")));
    }
    let roles = assigned_roles(&mut leader, &lists, &watch(4_000, 6));
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
