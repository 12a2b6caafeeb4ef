//! The same fleet under the same load, behind one gateway or behind hundreds: decisions
//! may not get worse by more than a bound.
//!
//! Runs in virtual time. Engines prefill one prompt at a time and cache it; gateways
//! report and receive digests at the intervals of the real ones.

use std::collections::{BTreeMap, HashSet, VecDeque};

use garnet_control::{
    BackendListHash, BackendRecord, BackendState, Backlog, GatewayDigest, LoadDigest, PromptCopy,
};
use garnet_forwarding::{Forwarder, Placement, Prompt};
use garnet_routes::WorkKind;
use garnet_types::{BackendId, EngineRole, Millis, PrefixId, ServiceId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use crate::fleet::{NOW, gateway_of, prompt, record, work};

const ENGINES: usize = 60;
/// Number of shared prefixes in use.
const PREFIXES: u64 = 200;
const SHARED_TOKENS: u64 = 9_000;
/// Traffic of the whole fleet: with all prefixes cached, engines are half occupied.
const PROMPTS_PER_S: u64 = 400;
const TOKENS_PER_MS: u64 = 40;
const LENGTH: Millis = Millis::from_secs(6);
/// Waits count after this warm-up.
const WARM_AFTER: Millis = Millis::from_secs(2);

/// The watch interval of `garnet-forwarding-shell`.
fn interval_ms(gateways: u64) -> u64 {
    (gateways * 4).clamp(30, 250)
}

#[derive(Default)]
struct Engine {
    /// Gateway, prompt, uncached tokens as estimated by the gateway, arrival time.
    queue: VecDeque<(usize, Prompt, u64, Millis)>,
    busy_until: Option<Millis>,
    held: HashSet<PrefixId>,
}

struct Fleet {
    gateways: Vec<Forwarder>,
    engines: Vec<Engine>,
    ids: Vec<BackendId>,
    reports: BTreeMap<usize, (Millis, Vec<Backlog>)>,
    copies: Vec<(usize, PromptCopy)>,
    copies_received: Vec<usize>,
    waits_ms: Vec<u64>,
}

impl Fleet {
    fn new(gateways: u64) -> Self {
        let name = |number: usize| format!("p-{number:03}");
        let mut records: Vec<BackendRecord> = (0..ENGINES)
            .map(|number| record(&name(number), "words", "a", Some(EngineRole::Prefill)))
            .collect();
        records.push(record("q-decode", "words", "a", Some(EngineRole::Mixed)));
        let gateway = |number| gateway_of(&records, gateways, number);
        Fleet {
            gateways: (0..gateways).map(gateway).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            ids: (0..ENGINES).map(|n| BackendId::new(name(n))).collect(),
            reports: BTreeMap::new(),
            copies: Vec::new(),
            copies_received: vec![0; gateways as usize],
            waits_ms: Vec::new(),
        }
    }

    /// A gateway sends its report to the leader and receives the digest.
    fn watch(&mut self, number: usize, now: Millis) {
        let report = self.gateways[number].report(now);
        self.reports.insert(number, (now, report.backlogs));
        let reported = report.copies.into_iter().map(|copy| (number, copy));
        self.copies.extend(reported);
        let mut states = vec![BackendState::default(); ENGINES + 1];
        for (_, backlogs) in self.reports.values() {
            for backlog in backlogs {
                let engine_index = self.ids.iter().position(|id| *id == backlog.backend);
                if let Some(state) = engine_index.map(|engine_index| &mut states[engine_index]) {
                    state.requests += backlog.requests;
                    state.uncached += backlog.uncached;
                    state.held_tokens += backlog.held_tokens;
                }
            }
        }
        let decode = BackendId::new("q-decode");
        let ids = self.ids.iter().chain([&decode]);
        let digest = GatewayDigest {
            digest: LoadDigest::encode(BackendListHash::of(ids), states),
            counted: Some(now),
        };
        let gateway = &mut self.gateways[number];
        gateway.take_digest(&digest, now);
        let start = std::mem::replace(&mut self.copies_received[number], self.copies.len());
        let updates = self.copies[start..]
            .iter()
            .filter(|(gateway_index, _)| *gateway_index != number);
        let updates: Vec<PromptCopy> = updates.map(|(_, copy)| copy.clone()).collect();
        gateway.note_copies(&updates, now);
    }

    fn arrive(&mut self, number: usize, prompt: Prompt, now: Millis) {
        let gateway = &mut self.gateways[number];
        let words = ServiceId::new("words");
        let asked = work(WorkKind::ResumableStream, Some(prompt.clone()));
        let placed = gateway.place(&words, &asked, &[], true, now);
        let Some(Placement::Handover {
            prefill_engine,
            copy_from,
        }) = placed
        else {
            panic!("not handed over: {placed:?}");
        };
        let sent = gateway.sent(&prefill_engine, Some(&prompt), copy_from.as_ref(), 0, now);
        let engine_index = self.ids.iter().position(|id| *id == prefill_engine);
        let engine_index = engine_index.expect("a known engine");
        let source = copy_from.and_then(|from| self.ids.iter().position(|id| *id == from));
        let shared = prompt.shared_prefix();
        // A copy from a source that holds the prefix takes no time.
        if source.is_some_and(|source| self.engines[source].held.contains(&shared)) {
            self.engines[engine_index].held.insert(shared);
        }
        let engine = &mut self.engines[engine_index];
        engine.queue.push_back((number, prompt, sent.uncached, now));
    }

    /// Advances the engines to `now`.
    fn work(&mut self, now: Millis) {
        for engine_index in 0..ENGINES {
            let engine = &mut self.engines[engine_index];
            if engine.busy_until.is_some_and(|until| until > now) {
                continue;
            }
            if engine.busy_until.take().is_some()
                && let Some((gateway_index, prompt, uncached, arrived_at)) =
                    engine.queue.pop_front()
            {
                engine.held.insert(prompt.shared_prefix());
                let id = &self.ids[engine_index];
                let gateway = &mut self.gateways[gateway_index];
                gateway.prefilled(id, 0, uncached);
                gateway.note_cached(id, &prompt, now);
                gateway.ended(id, 0, Some(&prompt));
                gateway.note_prefill(id, uncached, now.since(arrived_at));
                if arrived_at >= NOW + WARM_AFTER {
                    self.waits_ms.push(now.since(arrived_at).0);
                }
            }
            if let Some((_, prompt, _, _)) = engine.queue.front() {
                let cached = engine.held.contains(&prompt.shared_prefix());
                let tokens = if cached { 2_000 } else { prompt.tokens };
                engine.busy_until = Some(now + Millis(tokens / TOKENS_PER_MS));
            }
        }
    }
}

/// Mean time of a prefill, waiting included.
fn mean_ms(gateways: u64) -> f64 {
    let mut fleet = Fleet::new(gateways);
    let mut rng = Pcg64Mcg::seed_from_u64(22);
    let interval = interval_ms(gateways);
    let mut due_ms = 0.0;
    for step in 0..LENGTH.0 {
        let now = NOW + Millis(step);
        for number in 0..gateways {
            // The gateways' turns are spread over the interval.
            if (step + number * interval / gateways).is_multiple_of(interval) {
                fleet.watch(number as usize, now);
            }
        }
        fleet.work(now);
        while due_ms <= step as f64 {
            let gateway_index = rng.random_range(0..gateways) as usize;
            let own = rng.random();
            let asked = prompt(rng.random_range(0..PREFIXES), own, SHARED_TOKENS);
            fleet.arrive(gateway_index, asked, now);
            let gap: f64 = rng.random_range(0.0..2.0);
            due_ms += gap * 1000.0 / PROMPTS_PER_S as f64;
        }
    }
    let waits = &fleet.waits_ms;
    waits.iter().sum::<u64>() as f64 / waits.len() as f64
}

#[rstest]
#[case(8)]
#[case(66)]
#[case(295)]
fn many_gateways_decide_about_as_well_as_one(#[case] gateways: u64) {
    let alone = mean_ms(1);
    let split = mean_ms(gateways);
    assert!(
        split <= alone * 2.0 + 30.0,
        "{gateways} gateways: {split:.0} ms, one: {alone:.0} ms"
    );
}
