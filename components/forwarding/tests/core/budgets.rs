//! Repeats of all gateways together stay within the retry budget.

use garnet_types::{Millis, ServiceId};
use proptest::prelude::*;

use crate::fleet::{NOW, forwarder};

/// As [`max_repeats_with_restarts`], without a restart.
fn max_repeats_in_a_window(gateways: u64, requests: u64, seconds: u64) -> u64 {
    max_repeats_with_restarts(gateways, requests, seconds, None)
}

/// Maximum number of repeats that `gateways` let through in any window of ten seconds,
/// with `requests` per second at each of them and as many repeats as possible. All of
/// them may restart in one second, without memory.
fn max_repeats_with_restarts(
    gateways: u64,
    requests: u64,
    seconds: u64,
    restart: Option<u64>,
) -> u64 {
    let service = ServiceId::new("till");
    let mut spent = vec![0_u64; seconds as usize];
    for gateway in 0..gateways {
        let mut forwarder = forwarder(&[]);
        forwarder.set_gateways(gateways);
        for second in 0..seconds {
            if restart == Some(second) {
                forwarder = crate::fleet::forwarder(&[]);
                forwarder.set_gateways(gateways);
            }
            let now = NOW + Millis::from_secs(second) + Millis(gateway);
            for _ in 0..requests {
                forwarder.earn_repeats(&service, now);
            }
            while forwarder.spend_repeat(&service, now) {
                spent[second as usize] += 1;
            }
        }
    }
    spent.windows(10).map(|w| w.iter().sum()).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]
    #[test]
    fn the_sum_stays_within_the_budget(gateways in 1_u64..70, requests in 0_u64..20) {
        let most = max_repeats_in_a_window(gateways, requests, 30);
        let allowed = 50 + gateways * requests * 10 / 5;
        prop_assert!(most <= allowed, "{most} of {allowed}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]
    #[test]
    fn restarted_gateways_stay_near_the_budget(gateways in 1_u64..20, requests in 1_u64..20, restart in 1_u64..30) {
        let most = max_repeats_with_restarts(gateways, requests, 30, Some(restart));
        // What a gateway spent in the window before its restart is unknown.
        let allowed = 50 + gateways * requests * 10 / 5;
        let restart_slack = 50 * 3 / 4;
        prop_assert!(most <= allowed + restart_slack, "{most} of {allowed}");
    }
}

#[test]
fn a_burst_of_repeats_is_allowed_after_successful_requests() {
    let service = ServiceId::new("till");
    let mut forwarder = forwarder(&[]);
    forwarder.set_gateways(7);
    let mut allowed = 0;
    for tenth in 0..100 {
        let now = NOW + Millis(tenth * 100);
        forwarder.earn_repeats(&service, now);
        allowed += u64::from(tenth >= 80 && forwarder.spend_repeat(&service, now));
    }
    assert!(allowed >= 15, "{allowed} of 20");
}

#[test]
fn a_service_with_traffic_gets_repeats() {
    assert!(max_repeats_in_a_window(7, 5, 30) >= 50);
}
