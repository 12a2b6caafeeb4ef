//! The token bucket of a tenant's rate limit.

use garnet_types::Millis;

/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 10.0;

/// Tokens that a tenant may use now, refilled at a steady rate.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    available: f64,
    rate: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens a second.
    pub fn new(rate: f64, now: Millis) -> Self {
        TokenBucket {
            available: rate * BURST_SECONDS,
            rate,
            refilled_at: now,
        }
    }

    /// Takes `tokens` out of the bucket, which refills at `rate` from now on. A request larger than
    /// the capacity is admitted when the bucket is full.
    ///
    /// # Errors
    /// If there are too few tokens, the time until there are enough.
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

    /// Returns tokens that were taken and not used.
    pub fn refund(&mut self, tokens: f64) {
        self.available = (self.available + tokens).min(self.rate * BURST_SECONDS);
    }

    /// Whether the bucket is full, and thus equal to a new one.
    pub fn is_full(&self, now: Millis) -> bool {
        self.available + self.refilled(now) >= self.rate * BURST_SECONDS
    }

    fn refilled(&self, now: Millis) -> f64 {
        now.since(self.refilled_at).as_secs_f64() * self.rate
    }

    fn refill(&mut self, rate: f64, now: Millis) {
        let refilled = self.refilled(now);
        self.rate = rate;
        self.available = (self.available + refilled).min(rate * BURST_SECONDS);
        self.refilled_at = now.max(self.refilled_at);
    }
}
