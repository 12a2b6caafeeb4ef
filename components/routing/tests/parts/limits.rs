//! Token buckets, retry budgets and circuit breakers.

use garnet_routing::{CircuitBreaker, RetryBudget, TokenBucket};
use garnet_types::Millis;

#[test]
fn a_bucket_has_enough_tokens_after_its_retry_time() {
    let mut bucket = TokenBucket::new(100.0, Millis(0));
    assert_eq!(bucket.take(1000.0, 100.0, Millis(0)), Ok(()));
    let retry_after = bucket
        .take(50.0, 100.0, Millis(0))
        .expect_err("it is empty");
    assert_eq!(retry_after, Millis(500));
    assert!(bucket.take(50.0, 100.0, Millis(499)).is_err());
    assert_eq!(bucket.take(50.0, 100.0, Millis(500)), Ok(()));
}

#[test]
fn a_request_larger_than_the_bucket_is_admitted_when_it_is_full() {
    let mut bucket = TokenBucket::new(100.0, Millis(0));
    assert_eq!(bucket.take(5000.0, 100.0, Millis(0)), Ok(()));
    let retry_after = bucket
        .take(1.0, 100.0, Millis(0))
        .expect_err("it is in debt");
    assert_eq!(retry_after, Millis(40_010));
}

#[test]
fn a_changed_rate_applies_from_now_on() {
    let mut bucket = TokenBucket::new(100.0, Millis(0));
    bucket.take(1000.0, 100.0, Millis(0)).expect("it was full");
    assert_eq!(bucket.take(100.0, 10.0, Millis(1000)), Ok(()));
    assert_eq!(bucket.take(1.0, 10.0, Millis(1000)), Err(Millis(100)));
}

#[test]
fn a_bucket_refills_until_it_is_full() {
    let mut bucket = TokenBucket::new(100.0, Millis(0));
    bucket.take(50.0, 100.0, Millis(0)).expect("it was full");
    assert!(!bucket.is_full(Millis(499)));
    assert!(bucket.is_full(Millis(500)));
}

#[test]
fn retries_are_a_fraction_of_the_first_attempts() {
    let mut budget = RetryBudget::default();
    while budget.spend() {}
    for _ in 0..100 {
        budget.earn();
    }
    let retries = std::iter::repeat_with(|| budget.spend())
        .take_while(|allowed| *allowed)
        .count();
    assert!((19..=20).contains(&retries), "{retries}");
}

#[test]
fn a_breaker_opens_allows_one_probe_and_closes() {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..3 {
        assert!(breaker.allows(Millis(0)));
        breaker.sent();
        breaker.failed(Millis(0));
    }
    assert!(!breaker.allows(Millis(499)));
    assert!(breaker.allows(Millis(500)));
    breaker.sent();
    assert!(!breaker.allows(Millis(500)), "one probe at a time");
    breaker.failed(Millis(500));
    assert!(!breaker.allows(Millis(1499)), "the open duration doubles");
    assert!(breaker.allows(Millis(1500)));
    breaker.sent();
    breaker.succeeded();
    assert!(breaker.allows(Millis(1500)));
}

#[test]
fn a_released_probe_allows_the_next_one() {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..3 {
        breaker.failed(Millis(0));
    }
    breaker.sent();
    breaker.released();
    assert!(breaker.allows(Millis(500)));
}
