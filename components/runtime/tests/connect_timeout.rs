//! Connect timeouts grow while attempts fail.

use std::time::Duration;

use garnet_runtime::ConnectTimeout;

#[test]
fn timeouts_grow_up_to_a_limit_and_are_reset() {
    let mut timeout = ConnectTimeout::default();
    let mut timeouts = Vec::new();
    for _ in 0..4 {
        timeouts.push(timeout.next());
        timeout.failed();
    }
    assert_eq!(timeouts, [125, 250, 500, 500].map(Duration::from_millis));
    timeout.succeeded();
    assert_eq!(timeout.next(), Duration::from_millis(125));
}
