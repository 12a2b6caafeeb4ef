//! Which back end takes a request: pure functions over what is believed.

use garnet_types::{BackendId, EngineRole, Millis};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backends::Backend;
use crate::residency::Residency;
use crate::work::Prompt;

/// Requests more than elsewhere that the own zone may have before work leaves
/// it: another zone costs time and bytes.
const ZONE_ADVANTAGE: u64 = 2;
/// An engine that also generates reads prompts at half the pace.
const MIXED_READING_COST: u64 = 2;
/// What handing a KV cache over costs, in prompt tokens that could be read in
/// that time.
const HANDOVER_TOKENS: u64 = 1_500;
/// Unread tokens of other gateways for each own one, roughly.
const OTHERS_UNREAD: u64 = 2;

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// One back end does all of it.
    One(BackendId),
    /// One engine reads the prompt, another one generates from its KV cache.
    Handover {
        /// Reads the prompt.
        reader: BackendId,
        /// Generates.
        generator: BackendId,
    },
}

/// Who looks for a back end.
#[derive(Debug, Clone, Copy)]
pub struct Preference<'a> {
    /// Zone of the gateway.
    pub zone: &'a str,
    /// The present.
    pub now: Millis,
    /// Back ends that this request was at before.
    pub tried: &'a [BackendId],
    /// Whether one engine may read the prompt for another.
    pub may_hand_over: bool,
    /// Whether back ends that failed lately are taken as well.
    pub despite_failures: bool,
    /// A number that differs from request to request, to part equals.
    pub draw: u64,
}

impl Preference<'_> {
    fn may_take(&self, backend: &Backend) -> bool {
        backend.is_open(self.now, self.despite_failures)
            && !self.tried.contains(&backend.registration.id)
    }

    fn is_local(&self, backend: &Backend) -> bool {
        backend.registration.zone == self.zone
    }
}

/// An instance of an application: the least requests, the own zone first.
pub fn place_application<'a>(
    backends: impl Iterator<Item = &'a Backend>,
    preference: &Preference<'_>,
) -> Option<BackendId> {
    let cost = |backend: &&Backend| {
        let requests = backend.load.requests(preference.now);
        let away = u64::from(!preference.is_local(backend)) * ZONE_ADVANTAGE;
        let id = backend.registration.id.as_str().as_bytes();
        (requests + away, xxh3_64_with_seed(id, preference.draw))
    };
    let open = backends.filter(|backend| preference.may_take(backend));
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
    fn unread(&self, prompt: &Prompt, now: Millis) -> u64 {
        let held = self
            .residency
            .map_or(0, |residency| residency.held_tokens(prompt, now));
        prompt.tokens.saturating_sub(held)
    }

    fn queue(&self) -> u64 {
        self.backend.load.own_unread_tokens() * OTHERS_UNREAD
    }
}

/// One engine for both phases, or two, by the prompt tokens that are to be
/// read before the first piece.
pub fn place_engines(
    engines: &[EngineView<'_>],
    prompt: &Prompt,
    preference: &Preference<'_>,
) -> Option<Placement> {
    let open: Vec<&EngineView<'_>> = engines
        .iter()
        .filter(|engine| preference.may_take(engine.backend))
        .collect();
    let with_role = |wanted: fn(EngineRole) -> bool| {
        let matches = move |engine: &&&EngineView<'_>| engine.backend.role.is_some_and(wanted);
        open.iter().filter(matches).copied().collect::<Vec<_>>()
    };
    let generators = with_role(EngineRole::generates);
    let mixed = with_role(|role| role == EngineRole::Mixed);
    let readers = with_role(|role| role == EngineRole::Prefill);
    let single = owner_of(&mixed, prompt);
    let reader = owner_of(&readers, prompt);
    let now = preference.now;
    let single_cost =
        single.map(|engine| MIXED_READING_COST * (engine.unread(prompt, now) + engine.queue()));
    let reader = reader.filter(|_| preference.may_hand_over);
    let handover = reader.and_then(|reader| {
        let generator = generator_for(reader, &generators, now)?;
        let cost = reader.unread(prompt, now) + reader.queue() + HANDOVER_TOKENS;
        Some((reader, generator, cost))
    });
    match (single, single_cost, handover) {
        (Some(engine), Some(cost), Some((_, _, handed))) if cost <= handed => {
            Some(Placement::One(engine.backend.registration.id.clone()))
        }
        (_, _, Some((reader, generator, _))) => Some(Placement::Handover {
            reader: reader.backend.registration.id.clone(),
            generator: generator.backend.registration.id.clone(),
        }),
        (Some(engine), _, None) => Some(Placement::One(engine.backend.registration.id.clone())),
        _ => None,
    }
}

/// The engine to which the shared beginning of the prompt belongs, by
/// rendezvous hashing: all gateways find the same one without a word between
/// them, and an engine that leaves moves only what it held.
fn owner_of<'a, 'b>(engines: &[&'a EngineView<'b>], prompt: &Prompt) -> Option<&'a EngineView<'b>> {
    let key = prompt.shared_key();
    let weight = |engine: &&&EngineView<'_>| {
        let id = engine.backend.registration.id.as_str().as_bytes();
        xxh3_64_with_seed(id, key)
    };
    engines.iter().max_by_key(weight).copied()
}

/// Who goes on from the reader's KV cache: in its zone, since moves between
/// zones take longer, and with the fewest requests.
fn generator_for<'a, 'b>(
    reader: &EngineView<'_>,
    generators: &[&'a EngineView<'b>],
    now: Millis,
) -> Option<&'a EngineView<'b>> {
    let zone = &reader.backend.registration.zone;
    let cost = |engine: &&&EngineView<'_>| {
        let away = engine.backend.registration.zone != *zone;
        (away, engine.backend.load.requests(now))
    };
    generators.iter().min_by_key(cost).copied()
}
