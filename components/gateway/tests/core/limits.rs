//! Limits of tenants and instances.

use garnet_gateway::{Call, Event, Work};
use garnet_types::{Execution, Millis, ModelId, OutcomeCode, RequestId, TenantId};

use crate::harness::{Harness, MODEL, order};

fn long_completion(id: u64, tenant: &str) -> Event {
    Event::Call(Call {
        id: RequestId(id),
        tenant: Some(TenantId::new(tenant)),
        session: None,
        key: None,
        deadline: None,
        work: Work::Completion {
            model: ModelId::new(MODEL),
            prompt: "word ".repeat(5000),
            max_tokens: 1,
            stream: false,
            chat: false,
        },
    })
}

#[test]
fn a_tenant_above_its_rate_limit_gets_a_retry_time() {
    let mut harness = Harness::ready();
    let refused_at = (0..1000).find(|id| {
        harness.event(long_completion(*id, "greedy"));
        let refusals = harness.answers();
        refusals.iter().any(|(_, answer)| {
            matches!(answer, garnet_gateway::Answer::Refused(refusal)
                if refusal.code == OutcomeCode::TenantLimit
                    && refusal.ran == Execution::No
                    && refusal.retry_after > Some(Millis::ZERO))
        })
    });
    assert!(refused_at.is_some());
    harness.event(long_completion(2000, "other"));
    let other = harness.answers();
    let limited = |answer: &garnet_gateway::Answer| matches!(answer, garnet_gateway::Answer::Refused(refusal) if refusal.code == OutcomeCode::TenantLimit);
    assert!(!other.iter().any(|(_, answer)| limited(answer)));
}

#[test]
fn instances_at_their_limit_refuse_at_once() {
    let mut harness = Harness::ready();
    for id in 0..129 {
        harness.event(order(id, "GET", None));
    }
    assert_eq!(harness.dispatches().len(), 128, "64 at each instance");
    let refusal = harness.refusal();
    assert_eq!(refusal.code, OutcomeCode::Overloaded);
    assert_eq!(refusal.ran, Execution::No);
}
