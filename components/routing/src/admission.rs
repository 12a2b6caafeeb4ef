//! Whether a request is taken now, waits, or is refused at once.

use garnet_types::{Millis, Verdict};

/// Settings of the admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Longest predicted time to the first token at which a request is sent to
    /// an engine; what may wait stays with the gateway beyond it.
    pub first_token_target: Millis,
    /// Part of the deadline that the first token may take.
    pub first_token_share: f64,
    /// Part of the predicted generation that is added for what can't be
    /// foreseen: work that ends just too late has used its slot for nothing.
    pub generation_margin: f64,
    /// Longest time to come back that is told.
    pub longest_retry_after: Millis,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            first_token_target: Millis(900),
            first_token_share: 1.0,
            generation_margin: 0.15,
            longest_retry_after: Millis::from_secs(30),
        }
    }
}

/// The decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send it to an engine.
    Admit,
    /// Keep it until there is room.
    Wait,
    /// Refuse it now; room is predicted after this time.
    Refuse {
        /// When to come back.
        retry_after: Millis,
    },
}

/// Shortest time to come back: a header counts whole seconds.
const SHORTEST_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Decides by the predicted time to the first token at the best engine.
/// `remaining` is the time to the request's deadline.
pub fn admit(
    predicted: Millis,
    generation: Millis,
    remaining: Millis,
    verdict: &Verdict,
    settings: &AdmissionSettings,
) -> Admission {
    let generation = with_margin(generation, settings);
    if verdict.may_wait {
        return admit_waiting(predicted, generation, remaining, settings);
    }
    let share = (remaining.0 as f64 * settings.first_token_share) as u64;
    let allowed = Millis(share).since(generation);
    if predicted <= allowed.min(settings.first_token_target) {
        return Admission::Admit;
    }
    let excess = predicted.since(settings.first_token_target.min(allowed));
    refuse(excess, settings)
}

fn with_margin(generation: Millis, settings: &AdmissionSettings) -> Millis {
    let margin = generation.0 as f64 * settings.generation_margin;
    generation + Millis(margin as u64)
}

fn admit_waiting(
    predicted: Millis,
    generation: Millis,
    remaining: Millis,
    settings: &AdmissionSettings,
) -> Admission {
    if generation > remaining {
        return refuse(generation.since(remaining), settings);
    }
    if predicted <= settings.first_token_target {
        Admission::Admit
    } else {
        Admission::Wait
    }
}

fn refuse(excess: Millis, settings: &AdmissionSettings) -> Admission {
    let retry_after = excess
        .max(SHORTEST_RETRY_AFTER)
        .min(settings.longest_retry_after);
    Admission::Refuse { retry_after }
}
