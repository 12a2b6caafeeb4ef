//! Chooses the back end of a request: pure functions over the gateway's estimates.

use std::collections::BTreeSet;

use garnet_limits::GatewayLimits;
use garnet_types::{BackendId, BuildId, EngineRole, Millis};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backends::Backend;
use crate::prefill_choice::{PrefillChoice, PrefillSearch, cheapest_prefill};
use crate::residency::Residency;
use crate::work::Prompt;

/// Number of requests by which a local back end may exceed others before work leaves the
/// zone: another zone costs latency and traffic.
const ZONE_ADVANTAGE_REQUESTS: u64 = 2;
/// Cost of a token that a mixed engine prefills, in tokens of a prefill engine: a mixed
/// engine prefills at half the pace, and everything that it decodes slows down meanwhile.
const MIXED_PREFILL_COST_FACTOR: u64 = 200;
/// Cost of a KV transfer, in prompt tokens that could be prefilled in its time.
const HANDOVER_COST_TOKENS: u64 = 1_500;
/// Number of tokens by which a decode engine in the prefill engine's zone may exceed
/// others before a KV cache is moved to another zone.
const ZONE_MOVE_TOKENS: u64 = 100_000;
/// Where a request is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// One back end does the whole request.
    One(BackendId),
    /// One engine prefills the prompt; another one, which is chosen when the prefill is
    /// done, decodes from its KV cache.
    Handover {
        /// The engine that prefills the prompt.
        prefill_engine: BackendId,
        /// An engine that holds more of the prompt's prefix; the prefill engine copies it
        /// first.
        copy_from: Option<BackendId>,
    },
}

/// The circumstances in which a back end is chosen.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext<'a> {
    /// Zone of the gateway.
    pub zone: &'a str,
    /// Rate limits of back ends, and permits for them.
    pub limits: &'a GatewayLimits,
    /// The current time.
    pub now: Millis,
    /// Back ends that this request was sent to before.
    pub tried: &'a [BackendId],
    /// Whether one engine may prefill the prompt and another one decode it.
    pub may_hand_over: bool,
    /// Which back ends that failed recently are eligible as well.
    pub failures: Failures,
    /// Whether back ends without a free connection are eligible as well.
    pub ignore_connections: bool,
    /// Whether any engine may prefill a prompt, instead of only the owners of its prefix.
    pub any_engine: bool,
    /// Number of prefill engines to compare for a prompt whose shared prefix is too short
    /// to have owners.
    pub sampled: usize,
    /// A number that differs between requests, to break ties and to draw a random sample.
    pub draw: u64,
    /// The build that began the work, or whose KV cache it needs; only its engines may go on.
    pub build: Option<&'a BuildId>,
}

/// Which back ends that failed recently are eligible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failures {
    /// None that has failed since its last answer.
    None,
    /// Those whose circuit breaker allows a request.
    Recovering,
    /// All of them.
    All,
}

impl Failures {
    /// The order in which to look for a back end, for a request that was sent to those in `tried`.
    /// A retry goes to a back end without failures if there is one.
    pub(crate) fn in_order(tried: &[BackendId]) -> impl Iterator<Item = Failures> {
        let first_of_repeat = (!tried.is_empty()).then_some(Failures::None);
        first_of_repeat
            .into_iter()
            .chain([Failures::Recovering, Failures::All])
    }

    fn allow(self, backend: &Backend, now: Millis) -> bool {
        match self {
            Failures::None => backend.is_open(now, false) && !backend.breaker.has_failures(),
            Failures::Recovering => backend.is_open(now, false),
            Failures::All => backend.is_open(now, true),
        }
    }
}

impl PlacementContext<'_> {
    /// The same circumstances with other back ends that failed recently.
    pub(crate) fn with(&self, failures: Failures) -> Self {
        PlacementContext { failures, ..*self }
    }

    fn may_take(&self, backend: &Backend) -> bool {
        let id = &backend.registration.id;
        self.failures.allow(backend, self.now)
            && (self.ignore_connections || backend.has_connection())
            && !self.tried.contains(id)
            && self
                .build
                .is_none_or(|build| backend.build.as_ref() == Some(build))
            && (!backend.has_limit || self.limits.may_send(id, self.now))
    }

    /// Whether it has no rate limit. A permit for an engine with a limit would expire
    /// before another engine has prefilled a prompt for it.
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

/// Chooses the application instance with the fewest requests, preferring the gateway's
/// zone.
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

/// An engine and the estimated state of its prefix cache.
#[derive(Debug, Clone, Copy)]
pub struct EngineView<'a> {
    /// The engine.
    pub backend: &'a Backend,
    /// Its prefix cache, if anything is known of it.
    pub residency: Option<&'a Residency>,
}

impl EngineView<'_> {
    /// The engine's id.
    pub fn id(&self) -> &BackendId {
        &self.backend.registration.id
    }
}

/// Chooses one engine for both phases, or separate prefill and decode engines, by the
/// prompt tokens to prefill before the first token.
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
    // A KV cache of one build is of no use to another.
    let decoding = open
        .iter()
        .filter(|engine| engine.backend.generates() && context.is_unlimited(engine.backend));
    let decoding: BTreeSet<Option<&BuildId>> = decoding
        .map(|engine| engine.backend.build.as_ref())
        .collect();
    let mut prefill_engines = if context.may_hand_over {
        with_role(EngineRole::Prefill)
    } else {
        Vec::new()
    };
    prefill_engines.retain(|engine| decoding.contains(&engine.backend.build.as_ref()));
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
    let split_placement = |prefill: &PrefillChoice<'_, '_>| Placement::Handover {
        prefill_engine: prefill.engine.id().clone(),
        copy_from: prefill.source.map(|source| source.id().clone()),
    };
    match (single, handover) {
        (Some(single), Some(prefill_engine))
            if handover_cost(&prefill_engine) < single_cost(&single) =>
        {
            Some(split_placement(&prefill_engine))
        }
        (Some(single), _) => Some(Placement::One(single.engine.id().clone())),
        (None, Some(prefill_engine)) => Some(split_placement(&prefill_engine)),
        (None, None) => None,
    }
}

/// Chooses the engine that decodes from the prefill engine's KV cache: one in the same
/// zone, since transfers between zones take longer, and with the most free memory, which
/// is scarce with long prompts.
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
