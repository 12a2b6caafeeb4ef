//! Waits for connections grow while nothing answers.

use std::time::Duration;

use garnet_runtime::ConnectTimeout;

#[test]
fn waits_grow_up_to_a_bound_and_begin_anew() {
    let mut time = ConnectTimeout::default();
    let mut waits = Vec::new();
    for _ in 0..4 {
        waits.push(time.next());
        time.failed();
    }
    assert_eq!(waits, [125, 250, 500, 500].map(Duration::from_millis));
    time.succeeded();
    assert_eq!(time.next(), Duration::from_millis(125));
}
