//! Admission control: whether a request is admitted, waits at the gateway or is refused.

use garnet_types::{Millis, Verdict};

/// Settings of the admission control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Longest predicted time to first token at which a request is sent to an engine. Beyond it, a
    /// request that may wait stays at the gateway and any other one is refused.
    pub first_token_target: Millis,
    /// Fraction of the time to the deadline that the first token may take.
    pub first_token_share: f64,
    /// Fraction of the predicted generation time that is added as a safety margin: a request that
    /// just misses its deadline wastes its decode slot.
    pub generation_margin: f64,
    /// Longest retry time that is sent to a caller.
    pub max_retry_after: Millis,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            first_token_target: Millis(900),
            first_token_share: 1.0,
            generation_margin: 0.15,
            max_retry_after: Millis::from_secs(30),
        }
    }
}

/// The admission decision for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send the request to an engine.
    Admit,
    /// Keep the request at the gateway until an engine has capacity.
    Wait,
    /// Refuse the request; capacity is predicted after `retry_after`.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: Millis,
    },
}

/// Shortest retry time, since the header counts whole seconds.
const MIN_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Decides from the predicted time to first token at the best engine. `generation` is the
/// predicted generation time, `remaining` the time to the request's deadline.
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
    let retry_after = excess.max(MIN_RETRY_AFTER).min(settings.max_retry_after);
    Admission::Refuse { retry_after }
}
