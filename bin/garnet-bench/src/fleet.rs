//! `garnet-bench fleet`: what one gateway's decisions cost before a fleet of this size.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use garnet_control::{
    BackendListHash, BackendRecord, BackendRegistration, BackendState, Configuration,
    ConfigurationChange, EngineObservation, GatewayDigest, LoadDigest, PriorityCounts, PromptCopy,
    UNKNOWN_START, WatchUpdate,
};
use garnet_forwarding::{
    Arrival, Forwarder, ForwarderSettings, Prompt, PromptPart, ReportedLimit, SharedRetryBudget,
    Work,
};
use garnet_limits::{
    LimitLedger, LimitReport, PermitOutcome, PermitRequest, RateError, RequestRate,
};
use garnet_routes::{EngineLimits, RouteTable, ServiceSettings, WorkKind};
use garnet_types::{
    BackendId, BackendKind, EngineAssignment, EngineRole, MachineState, Millis, ModelId, PrefixId,
    ServiceId,
};

use crate::options::Options;

const HELP: &str = "\
Usage: garnet-bench fleet [OPTIONS]

  --engines N   engines, of which two fifths prefill (default 10000)
  --busy N      engines that the others have work at (default 500)
  --limited N   engines that have named a limit (default 0)
  --prefixes N  shared prefixes that are known, at two engines each (default 3000)
  --rounds N    times that each decision is made (default 200)

Exit codes: 0 measured, 2 wrong usage.
";

const SERVICE: &str = "words";
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const NOW: Millis = Millis(10_000);

pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        garnet_runtime::print_out!("{HELP}");
        return Ok(true);
    }
    let engines: usize = options.value("engines", 10_000)?;
    let busy: usize = options.value("busy", 500)?;
    let limited: usize = options.value("limited", 0)?;
    let prefixes: usize = options.value("prefixes", 3_000)?;
    let rounds: u64 = options.value("rounds", 200)?;
    options.check_all_asked()?;
    let mut gateway = gateway(engines);
    learn_copies(&mut gateway, engines, prefixes);
    let digest = digest(&gateway, busy);
    gateway.take_digest(&digest, NOW);
    learn_limits(&mut gateway, limited)?;
    garnet_runtime::print_line!(
        "engines {engines}, busy {busy}, limited {limited}, prefixes {prefixes}; microseconds each:"
    );
    let service = ServiceId::new(SERVICE);
    let work = work();
    let arrival = Arrival {
        waited: Millis::ZERO,
        deadline: Millis(6_000),
        remaining: Millis(6_000),
        is_retry: false,
    };
    each("place a prompt", rounds, |_| {
        gateway.place_new(&service, &work, &arrival, NOW).is_some()
    });
    let prefill_engine = id(0);
    each("place a decode", rounds, |_| {
        gateway
            .place_decode(&service, &prefill_engine, &[], NOW)
            .is_some()
    });
    each("take a digest", rounds, |_| {
        gateway.take_digest(&digest, NOW);
        true
    });
    each("report", rounds, |_| {
        gateway.report(NOW).backlogs.is_empty()
    });
    let mut ledger = ledger(limited)?;
    let ask = PermitRequest {
        number: 1,
        backends: (0..limited.min(ASKED)).map(id).collect(),
        priority: 2,
    };
    each("give a permit", rounds, |round| {
        let answer = ledger.request_permit(&ask, NOW + Millis(round * 100));
        matches!(answer.outcome, PermitOutcome::Granted { .. })
    });
    let changed = record(7, MachineState::Leaving);
    each("follow a change", rounds, |round| {
        let change = ConfigurationChange::BackendPut(changed.clone());
        gateway.update(WatchUpdate::Changes {
            from: 5 + round,
            to: 6 + round,
            changes: vec![(6 + round, change)].into(),
        });
        true
    });
    Ok(true)
}

/// Prints the mean time of a decision.
fn each(name: &str, rounds: u64, mut decide: impl FnMut(u64) -> bool) {
    let began = Instant::now();
    let made = (0..rounds).filter(|round| decide(*round)).count();
    let mean = began.elapsed().as_secs_f64() * 1e6 / rounds.max(1) as f64;
    garnet_runtime::print_line!("{name:<16} {mean:>10.1}   ({made} made)");
}

fn id(number: usize) -> BackendId {
    BackendId::new(format!("i-{number:010x}"))
}

fn record(number: usize, machine: MachineState) -> BackendRecord {
    let role = match number % 5 {
        0 | 1 => EngineRole::Prefill,
        _ => EngineRole::Mixed,
    };
    BackendRecord {
        registration: BackendRegistration {
            id: id(number),
            kind: BackendKind::Engine,
            service: ServiceId::new(SERVICE),
            address: format!("10.1.{}.{}:8080", number / 250, number % 250),
            zone: ZONES[number % ZONES.len()].to_owned(),
            start: UNKNOWN_START,
        },
        machine,
        desired: None,
        observed: Some(EngineObservation {
            incarnation: 1,
            assignment: EngineAssignment {
                role,
                model: ModelId::new("m"),
            },
        }),
        order: None,
        revision: 1,
    }
}

fn gateway(engines: usize) -> Forwarder {
    let mut gateway = Forwarder::new(ForwarderSettings {
        zone: "a".to_owned(),
        budget: SharedRetryBudget {
            per_request: 0.2,
            extra: 50.0,
            window: Millis::from_secs(10),
        },
        first_draw: 0.25,
    });
    let limits = EngineLimits {
        slots: 64,
        cache_tokens: 400_000,
        token_bytes: 18_432,
        link_mbps: 370_000,
        role_change_ms: Millis(3_000),
        handover_ms: Millis(5_000),
    };
    let table = RouteTable {
        version: 1,
        services: vec![ServiceSettings {
            name: ServiceId::new(SERVICE),
            max_connections: 2_100,
            buying: None,
            engine: Some(limits),
        }],
        ..RouteTable::default()
    };
    let records = (0..engines).map(|number| record(number, MachineState::Live));
    let backends: BTreeMap<BackendId, BackendRecord> = records
        .map(|record| (record.registration.id.clone(), record))
        .collect();
    let configuration = Configuration {
        index: 5,
        routes: Some(Arc::new(table)),
        backends,
        ..Configuration::default()
    };
    gateway.update(WatchUpdate::Snapshot(configuration.into()));
    gateway.set_gateways(1_000);
    gateway
}

fn learn_copies(gateway: &mut Forwarder, engines: usize, prefixes: usize) {
    let copy = |number: usize| PromptCopy {
        prefix: PrefixId((number / 2) as u64),
        backend: id(number * 7919 % engines.max(1)),
    };
    let copies: Vec<PromptCopy> = (0..2 * prefixes).map(copy).collect();
    gateway.note_copies(&copies, NOW);
}

/// Names of one question for a permit.
const ASKED: usize = 16;
/// What engines with a limit name, in requests a second.
const LIMIT: &str = "1.1";

fn learn_limits(gateway: &mut Forwarder, limited: usize) -> Result<(), String> {
    let rate = limit_rate()?;
    for number in 0..limited {
        gateway.note_limit(&id(number), ReportedLimit::Limited(rate), NOW, NOW);
    }
    Ok(())
}

fn ledger(limited: usize) -> Result<LimitLedger, String> {
    let rate = Some(limit_rate()?);
    let mut ledger = LimitLedger::default();
    for number in 0..limited {
        let report = LimitReport {
            backend: id(number),
            start: 1,
            rate,
            ago: Millis::ZERO,
        };
        ledger.apply_report(&report, NOW);
    }
    Ok(ledger)
}

fn limit_rate() -> Result<RequestRate, String> {
    LIMIT.parse().map_err(|error: RateError| error.to_string())
}

fn digest(gateway: &Forwarder, busy: usize) -> GatewayDigest {
    let members = BackendListHash::of(gateway.backend_ids());
    let known = gateway.known_backends();
    let one_of = (known / busy.max(1)).max(1);
    let state = |place: usize| match place % one_of {
        0 => BackendState {
            requests: 2,
            uncached: PriorityCounts::at(2, 4_000),
            held_tokens: 20_000,
            is_failing: false,
        },
        _ => BackendState::default(),
    };
    GatewayDigest {
        digest: LoadDigest::encode(members, (0..known).map(state)),
        counted: None,
    }
}

fn work() -> Work {
    let part = |id, tokens| PromptPart { id, tokens };
    Work {
        kind: WorkKind::Repeatable,
        priority: 2,
        objective: Millis(1_000),
        max_attempts: 2,
        prompt: Some(Prompt {
            parts: vec![part(17, 13_300), part(1 << 40, 3_720)],
            tokens: 17_020,
            output_tokens: 7,
            likely_output_tokens: None,
        }),
        is_deferred: false,
        build: None,
    }
}
