//! When a process that is being stopped gives its last answers.

use std::time::Duration;

/// Time before the end of the grace time at which requests that still have no answer are answered:
/// several stalls of a tenth of a second, and the way to the caller.
const MAX_MARGIN: Duration = Duration::from_millis(500);
/// Largest fraction of the grace time that this may take.
const MAX_MARGIN_FRACTION: f64 = 0.1;

/// Time from the start of a planned stop to its last answers, if the process is killed after `grace`.
pub fn until_last_answers(grace: Duration) -> Duration {
    let margin = MAX_MARGIN.min(grace.mul_f64(MAX_MARGIN_FRACTION));
    grace.saturating_sub(margin)
}
