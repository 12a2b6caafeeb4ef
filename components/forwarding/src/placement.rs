//! Which back end takes a request: pure functions over what is believed.

use garnet_limits::KnownLimits;
use garnet_types::{BackendId, EngineRole, Millis};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backends::Backend;
use crate::prefill_choice::{PrefillChoice, PrefillSearch, cheapest_prefill};
use crate::residency::Residency;
use crate::work::Prompt;

/// Requests more than elsewhere that the own zone may have before work leaves
/// it: another zone costs time and bytes.
const ZONE_ADVANTAGE_REQUESTS: u64 = 2;
/// An engine that generates prefills prompts at half the pace, and all that it
/// generates comes slower meanwhile: each token that it prefills counts as so
/// many that a prefill engine prefills.
const MIXED_PREFILL_COST_FACTOR: u64 = 200;
/// What handing a KV cache over costs, in prompt tokens that could be read in
/// that time.
const HANDOVER_COST_TOKENS: u64 = 1_500;
/// Tokens more than elsewhere that a decode engine in the zone of the prefill engine may
/// hold before a KV cache leaves the zone.
const ZONE_MOVE_TOKENS: u64 = 100_000;
/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// One back end does all of it.
    One(BackendId),
    /// One engine prefills the prompt; another one, which is chosen when that is
    /// done, generates from its KV cache.
    Handover {
        /// Reads the prompt.
        prefill_engine: BackendId,
        /// Holds more of its prefix, for the prefill engine to copy first.
        copy_from: Option<BackendId>,
    },
}

/// Who looks for a back end.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'a> {
    /// Zone of the gateway.
    pub zone: &'a str,
    /// What back ends take, and permits for them.
    pub limits: &'a KnownLimits,
    /// The present.
    pub now: Millis,
    /// Back ends that this request was at before.
    pub tried: &'a [BackendId],
    /// Whether one engine may read the prompt for another.
    pub may_hand_over: bool,
    /// Whether back ends that failed lately are taken as well.
    pub ignore_failures: bool,
    /// Whether back ends without a free connection are taken as well.
    pub ignore_connections: bool,
    /// Whether any engine may read a prompt, in place of the owners of its
    /// prefix only.
    pub any_engine: bool,
    /// Prefill engines that are looked at for a prompt that none owns.
    pub sampled: usize,
    /// A number that differs from request to request, to part equals.
    pub draw: u64,
}

impl PlacementContext<'_> {
    fn may_take(&self, backend: &Backend) -> bool {
        let id = &backend.registration.id;
        backend.is_open(self.now, self.ignore_failures)
            && (self.ignore_connections || backend.has_connection())
            && !self.tried.contains(id)
            && (!backend.has_limit || self.limits.may_send(id, self.now))
    }

    /// Whether it takes what comes. A permit for one that has a limit is over before
    /// another engine has read a prompt for it.
    fn is_unlimited(&self, backend: &Backend) -> bool {
        !backend.has_limit
    }

    /// Whether the next request should go there, to refresh what is known of its limit.
    fn is_due(&self, backend: &Backend) -> bool {
        backend.has_limit && self.limits.is_due(&backend.registration.id, self.now)
    }

    fn is_local(&self, backend: &Backend) -> bool {
        backend.registration.zone == self.zone
    }
}

/// An instance of an application: the least requests, the own zone first.
pub fn place_application<'a>(
    backends: impl Iterator<Item = &'a Backend>,
    context: &PlacementContext<'_>,
) -> Option<BackendId> {
    let cost = |backend: &&Backend| {
        let requests = backend.load.requests(context.now);
        let away = u64::from(!context.is_local(backend)) * ZONE_ADVANTAGE_REQUESTS;
        let id = backend.registration.id.as_str().as_bytes();
        let draw = xxh3_64_with_seed(id, context.draw);
        (!context.is_due(backend), requests + away, draw)
    };
    let open = backends.filter(|backend| context.may_take(backend));
    Some(open.min_by_key(cost)?.registration.id.clone())
}

/// An engine and what is believed of its prefix cache.
#[derive(Debug, Clone, Copy)]
pub struct EngineView<'a> {
    /// The engine.
    pub backend: &'a Backend,
    /// Its cache.
    pub residency: Option<&'a Residency>,
}

impl EngineView<'_> {
    /// Its name.
    pub fn id(&self) -> &BackendId {
        &self.backend.registration.id
    }
}

/// One engine for both phases, or two, by the prompt tokens that are to be
/// read before the first event.
pub fn place_engines(
    engines: &[EngineView<'_>],
    prompt: &Prompt,
    context: &PlacementContext<'_>,
) -> Option<Placement> {
    let open: Vec<&EngineView<'_>> = engines
        .iter()
        .filter(|engine| context.may_take(engine.backend))
        .collect();
    let with_role = |wanted: EngineRole| -> Vec<&EngineView<'_>> {
        let matches = |engine: &&&EngineView<'_>| engine.backend.role == Some(wanted);
        let all: Vec<&EngineView<'_>> = open.iter().filter(matches).copied().collect();
        let due = all.iter().filter(|engine| context.is_due(engine.backend));
        let due: Vec<&EngineView<'_>> = due.copied().collect();
        if due.is_empty() { all } else { due }
    };
    let mixed = with_role(EngineRole::Mixed);
    let may_hand_over = context.may_hand_over
        && open
            .iter()
            .any(|engine| engine.backend.generates() && context.is_unlimited(engine.backend));
    let prefill_engines = if may_hand_over {
        with_role(EngineRole::Prefill)
    } else {
        Vec::new()
    };
    let search = PrefillSearch {
        any_engine: context.any_engine,
        sampled: context.sampled,
        draw: context.draw,
        now: context.now,
    };
    let single = cheapest_prefill(&mixed, &[], prompt, search);
    let handover = cheapest_prefill(&prefill_engines, &open, prompt, search);
    let single_cost = |prefill: &PrefillChoice<'_, '_>| prefill.cost * MIXED_PREFILL_COST_FACTOR;
    let handover_cost = |prefill: &PrefillChoice<'_, '_>| prefill.cost + HANDOVER_COST_TOKENS;
    let by_two = |prefill: &PrefillChoice<'_, '_>| Placement::Handover {
        prefill_engine: prefill.engine.id().clone(),
        copy_from: prefill.source.map(|source| source.id().clone()),
    };
    match (single, handover) {
        (Some(single), Some(prefill_engine))
            if handover_cost(&prefill_engine) < single_cost(&single) =>
        {
            Some(by_two(&prefill_engine))
        }
        (Some(single), _) => Some(Placement::One(single.engine.id().clone())),
        (None, Some(prefill_engine)) => Some(by_two(&prefill_engine)),
        (None, None) => None,
    }
}

/// Who goes on from the prefill engine's KV cache: in its zone, since moves between
/// zones take longer, and with the most memory left: what is scarce where
/// prompts are long.
pub fn place_decode<'a>(
    engines: impl Iterator<Item = &'a Backend>,
    prefill_zone: &str,
    context: &PlacementContext<'_>,
) -> Option<BackendId> {
    let cost = |backend: &&Backend| {
        let away = u64::from(backend.registration.zone != prefill_zone);
        let id = backend.registration.id.as_str().as_bytes();
        let held = backend.load.held_tokens(context.now);
        let cost = held + away * ZONE_MOVE_TOKENS;
        let draw = xxh3_64_with_seed(id, context.draw);
        (!context.is_due(backend), cost, draw)
    };
    let decode_engines = engines
        .filter(|backend| backend.generates())
        .filter(|backend| context.may_take(backend));
    Some(decode_engines.min_by_key(cost)?.registration.id.clone())
}
