//! A tenant's allowance, as a token bucket.

use garnet_types::Millis;

/// How many seconds of allowance may be saved up.
const BURST_SECONDS: f64 = 10.0;

/// Tokens that a tenant may use now, refilled at a steady rate.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    available: f64,
    rate: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// A full bucket that refills at `rate` tokens a second.
    pub fn new(rate: f64, now: Millis) -> Self {
        TokenBucket {
            available: rate * BURST_SECONDS,
            rate,
            refilled_at: now,
        }
    }

    /// Takes `tokens` out, or says how long until they would be there. A
    /// request larger than the whole bucket is let through when it is full.
    ///
    /// # Errors
    /// The time to come back, when the allowance is used up.
    pub fn take(&mut self, tokens: f64, rate: f64, now: Millis) -> Result<(), Millis> {
        self.refill(rate, now);
        let needed = tokens.min(self.rate * BURST_SECONDS);
        if self.available >= needed {
            self.available -= tokens;
            return Ok(());
        }
        let missing = needed - self.available;
        Err(Millis((missing / self.rate * 1000.0).ceil() as u64))
    }

    /// Gives tokens back that were taken and not used.
    pub fn give_back(&mut self, tokens: f64) {
        self.available = (self.available + tokens).min(self.rate * BURST_SECONDS);
    }

    /// Whether the bucket is full: a new one would be no different.
    pub fn is_full(&self, now: Millis) -> bool {
        self.available + self.gained(now) >= self.rate * BURST_SECONDS
    }

    fn gained(&self, now: Millis) -> f64 {
        now.since(self.refilled_at).as_secs_f64() * self.rate
    }

    fn refill(&mut self, rate: f64, now: Millis) {
        let gained = self.gained(now);
        self.rate = rate;
        self.available = (self.available + gained).min(rate * BURST_SECONDS);
        self.refilled_at = now.max(self.refilled_at);
    }
}
