//! Claims, which make a request run at most once.

use garnet_control::{CLAIM_RETENTION, ClaimAnswer, ClaimCommand, Claims};
use garnet_types::{
    ClaimId, GatewayId, IdempotencyKey, Millis, RecordedResponse, RequestId, TenantId,
};

const START: Millis = Millis(1000);

fn claim(gateway: &str, body_hash: u64) -> ClaimCommand {
    ClaimCommand {
        tenant: TenantId::new("studio"),
        key: IdempotencyKey::new("basket-7"),
        body_hash,
        claim: ClaimId {
            gateway: GatewayId::new(gateway),
            request: RequestId(1),
        },
    }
}

fn response() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "application/json".into(),
        body: b"{}".to_vec(),
        served_by: "till-1".into(),
    }
}

#[test]
fn one_claim_of_a_key_is_granted() {
    let mut claims = Claims::default();
    assert_eq!(claims.claim(&claim("one", 5), START), ClaimAnswer::Granted);
    assert_eq!(claims.claim(&claim("two", 5), START), ClaimAnswer::Held);
    assert_eq!(
        claims.claim(&claim("one", 5), START),
        ClaimAnswer::Granted,
        "the same claim asked again gets the same answer"
    );
}

#[test]
fn a_resend_gets_the_recorded_answer() {
    let mut claims = Claims::default();
    claims.claim(&claim("one", 5), START);
    claims.record(&claim("one", 5), response());
    let again = claims.claim(&claim("two", 5), START);
    assert_eq!(again, ClaimAnswer::Recorded(response()));
}

#[test]
fn only_the_owner_records_and_only_once() {
    let mut claims = Claims::default();
    claims.claim(&claim("one", 5), START);
    claims.record(&claim("two", 5), response());
    assert_eq!(claims.claim(&claim("two", 5), START), ClaimAnswer::Held);
}

#[test]
fn a_key_with_another_body_is_refused() {
    let mut claims = Claims::default();
    claims.claim(&claim("one", 5), START);
    let other = claims.claim(&claim("two", 6), START);
    assert_eq!(other, ClaimAnswer::BodyDiffers);
}

#[test]
fn a_released_key_is_granted_to_another_claim_but_not_to_the_same() {
    let mut claims = Claims::default();
    claims.claim(&claim("one", 5), START);
    claims.release(&claim("one", 5), START);
    assert_eq!(claims.claim(&claim("one", 5), START), ClaimAnswer::Released);
    assert_eq!(claims.claim(&claim("two", 5), START), ClaimAnswer::Granted);
}

/// The release, sent on another connection, overtook the claim.
#[test]
fn a_claim_that_was_released_before_it_arrived_is_not_granted() {
    let mut claims = Claims::default();
    claims.release(&claim("one", 5), START);
    assert_eq!(claims.claim(&claim("one", 5), START), ClaimAnswer::Released);
}

#[test]
fn a_claim_is_kept_exactly_for_its_retention() {
    let mut claims = Claims::default();
    claims.claim(&claim("one", 5), START);
    let last = START + CLAIM_RETENTION - Millis(1);
    assert_eq!(claims.claim(&claim("two", 5), last), ClaimAnswer::Held);
    let expired = START + CLAIM_RETENTION;
    assert_eq!(
        claims.claim(&claim("two", 5), expired),
        ClaimAnswer::Granted
    );
    assert_eq!(claims.len(), 1);
}
