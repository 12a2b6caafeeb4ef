//! Chooses the engine, or the pair of engines, that generates a text.

use garnet_routing::{Candidate, WorkShape, choose, predict_first_token};
use garnet_types::{BackendId, Millis, RequestId};

use crate::backends::BackendRef;
use crate::gateway::Gateway;
use crate::request::Request;

/// The engines chosen for a request.
#[derive(Debug, Clone)]
pub(crate) enum Placement {
    /// One engine runs both phases.
    Single(BackendId),
    /// One engine prefills; the decode engine is chosen afterwards.
    PrefillFirst(BackendId),
}

/// A placement with its predicted time to the first token.
#[derive(Debug, Clone)]
pub(super) struct PredictedPlacement {
    pub(super) placement: Placement,
    pub(super) first_token: Millis,
}

impl Gateway {
    pub(super) fn choose_placement(&mut self, id: RequestId) -> Option<PredictedPlacement> {
        let request = self.requests.get(&id)?;
        let engines = self.untried_engines(request)?;
        let mut single = Vec::new();
        let mut prefill = Vec::new();
        let mut decode = Vec::new();
        let mut limited = Vec::new();
        for engine in &engines {
            if engine.role.prefills() && engine.role.generates() {
                single.push(self.candidate(request, engine, Phase::Both));
            }
            if engine.role.prefills() {
                prefill.push(self.candidate(request, engine, Phase::Prefill));
            }
            if engine.role.generates() {
                let candidate = self.candidate(request, engine, Phase::Decode);
                let has_no_limit = self.is_unlimited(engine.id);
                let decode = if has_no_limit {
                    &mut decode
                } else {
                    &mut limited
                };
                decode.push(candidate);
            }
        }
        // If all decode engines have a rate limit, a permit for one of them is requested after
        // the prefill.
        if decode.is_empty() {
            decode = limited;
        }
        // Only an engine of the same build can use the KV cache.
        let build_of = |candidate: &Candidate| self.backends.build_of(&candidate.backend);
        prefill.retain(|prefill| {
            let build = build_of(prefill);
            decode.iter().any(|decode| build_of(decode) == build)
        });
        let [single, prefill] = [single, prefill].map(|candidates_of_phase| {
            self.prefer_due_for_refresh(candidates_of_phase, |entry| &entry.backend)
        });
        let single = choose(&single, &mut self.random);
        let prefill = choose(&prefill, &mut self.random);
        if let Some(prefill) = &prefill {
            let build = self.backends.build_of(&prefill.backend);
            decode.retain(|decode| self.backends.build_of(&decode.backend) == build);
        }
        let decode = self.prefer_due_for_refresh(decode, |entry| &entry.backend);
        let decode = choose(&decode, &mut self.random);
        best_placement(single, prefill, decode)
    }

    /// Engines that the request may be sent to and at which it hasn't failed.
    fn untried_engines(&self, request: &Request) -> Option<Vec<BackendRef<'_>>> {
        let model = request.model()?;
        let engines = self.backends.engines(
            &self.watched.configuration,
            &request.service,
            model,
            &request.failed_backends,
            self.now,
        );
        let engines = engines.into_iter().filter(|entry| {
            self.may_send(entry.id) && self.is_of_required_build(request, entry.id)
        });
        Some(self.restrict_suspected(request, engines.collect()))
    }

    /// Whether an engine may run a request: what one build began, no other continues, and none
    /// continues what an engine began that had not reported its build.
    pub(crate) fn is_of_required_build(&self, request: &Request, engine: &BackendId) -> bool {
        !request.has_begun()
            || (request.build.is_some() && self.backends.build_of(engine) == request.build.as_ref())
    }

    /// Whether no engine may continue a text that has begun: its build is not known, or all engines
    /// of the service that have reported one are of another. An engine that doesn't take work now
    /// may do so later.
    pub(super) fn is_build_gone(&self, request: &Request) -> bool {
        if !request.has_begun() {
            return false;
        }
        let Some(build) = &request.build else {
            return true;
        };
        let records = self.watched.configuration.backends.values();
        let of_service = records.filter(|record| record.registration.service == request.service);
        let mut builds = of_service
            .filter_map(|record| self.backends.build_of(&record.registration.id))
            .peekable();
        builds.peek().is_some() && builds.all(|other| other != build)
    }

    pub(super) fn candidate(
        &self,
        request: &Request,
        engine: &BackendRef<'_>,
        phase: Phase,
    ) -> Candidate {
        let shape = self.shape(request, engine.id, phase);
        let predicted = match self.backends.view_of(engine.id) {
            Some(view) => predict_first_token(&view.estimate.snapshot(self.now), &shape),
            None => Millis::ZERO,
        };
        Candidate {
            backend: engine.id.clone(),
            predicted,
        }
    }

    pub(super) fn shape(&self, request: &Request, engine: &BackendId, phase: Phase) -> WorkShape {
        let prompt_tokens = request.prompt_tokens + request.delivered.len() as u64;
        let cached_tokens = self
            .backends
            .prefixes
            .cached_tokens(engine, &request.prompt_blocks);
        let output_tokens = request.remaining_tokens();
        match phase {
            Phase::Both => WorkShape {
                prompt_tokens,
                cached_tokens,
                transferred_tokens: 0,
                output_tokens,
            },
            Phase::Prefill => WorkShape {
                prompt_tokens,
                cached_tokens,
                transferred_tokens: 0,
                output_tokens: 0,
            },
            Phase::Decode => WorkShape {
                prompt_tokens,
                cached_tokens: 0,
                transferred_tokens: prompt_tokens,
                output_tokens,
            },
        }
    }

    pub(crate) fn choose_decode(&mut self, id: RequestId) -> Option<BackendId> {
        let request = self.requests.get(&id)?;
        let engines = self.untried_engines(request)?;
        let cache = request.kv_cache.as_ref();
        let can_import = |engine: &&BackendRef<'_>| {
            cache.is_none_or(|cache| self.backends.build_of(engine.id) == cache.build.as_ref())
        };
        let candidates: Vec<Candidate> = engines
            .iter()
            .filter(|engine| engine.role.generates())
            .filter(can_import)
            .map(|engine| self.candidate(request, engine, Phase::Decode))
            .collect();
        let candidates = self.prefer_due_for_refresh(candidates, |entry| &entry.backend);
        choose(&candidates, &mut self.random).map(|chosen| chosen.backend)
    }
}

/// The phases that a candidate would run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Both,
    Prefill,
    Decode,
}

fn best_placement(
    single: Option<Candidate>,
    prefill: Option<Candidate>,
    decode: Option<Candidate>,
) -> Option<PredictedPlacement> {
    let single = single.map(|entry| PredictedPlacement {
        placement: Placement::Single(entry.backend),
        first_token: entry.predicted,
    });
    let pair = prefill.zip(decode).and_then(|(prefill, decode)| {
        (prefill.backend != decode.backend).then(|| PredictedPlacement {
            first_token: prefill.predicted + decode.predicted,
            placement: Placement::PrefillFirst(prefill.backend),
        })
    });
    match (single, pair) {
        (Some(single), Some(pair)) if pair.first_token < single.first_token => Some(pair),
        (Some(single), _) => Some(single),
        (None, pair) => pair,
    }
}
