//! The usage meter of a gateway reports counts until they are in the log.

use garnet_control::{UsageReceipt, UsageReport};
use garnet_forwarding::UsageMeter;
use garnet_types::{GatewayId, Millis, TenantId, UsageWindow};
use rstest::rstest;

const WINDOW: Millis = Millis::from_secs(5);
const NOW: Millis = Millis(12_000);

fn meter() -> UsageMeter {
    UsageMeter::new(GatewayId::new("g1"), WINDOW)
}

fn begin(meter: &mut UsageMeter, tenant: &str, at: u64) {
    meter.note(&TenantId::new(tenant), Millis(at));
}

fn receipt(logged: u64, closed_through: Option<u64>) -> UsageReceipt {
    UsageReceipt {
        logged,
        closed_through: closed_through.map(UsageWindow),
        time: NOW,
    }
}

fn counts(report: &UsageReport) -> Vec<(u64, &str, u64)> {
    let count = report.counts.iter();
    count
        .map(|count| (count.window.0, count.tenant.as_str(), count.requests))
        .collect()
}

#[test]
fn requests_are_counted_by_tenant_and_window() {
    let mut meter = meter();
    for (tenant, at) in [
        ("one", 9_999),
        ("one", 10_000),
        ("two", 10_001),
        ("one", 14_999),
    ] {
        begin(&mut meter, tenant, at);
    }
    let report = meter.report();
    assert_eq!(
        counts(&report),
        [(1, "one", 1), (2, "one", 2), (2, "two", 1)]
    );
}

#[test]
fn counts_are_reported_until_they_are_in_the_log() {
    let mut meter = meter();
    begin(&mut meter, "one", 10_000);
    assert_eq!(meter.report().number, 1);
    assert_eq!(meter.on_receipt(&receipt(0, None), NOW), 0);
    assert!(meter.has_unlogged());
    begin(&mut meter, "two", 10_000);
    let second = meter.report();
    assert_eq!(counts(&second), [(2, "one", 1), (2, "two", 1)]);
    meter.on_receipt(&receipt(1, None), NOW);
    assert_eq!(counts(&meter.report()), [(2, "two", 1)]);
    meter.on_receipt(&receipt(2, None), NOW);
    assert!(!meter.has_unlogged());
}

/// A count that grew after it was reported is reported again in full.
#[test]
fn a_count_that_grew_is_reported_again() {
    let mut meter = meter();
    begin(&mut meter, "one", 10_000);
    let first = meter.report().number;
    begin(&mut meter, "one", 10_000);
    meter.on_receipt(&receipt(first, None), NOW);
    assert_eq!(counts(&meter.report()), [(2, "one", 2)]);
}

#[rstest]
#[case::logged_before(1, 0)]
#[case::never_logged(0, 2)]
fn unlogged_counts_are_lost_when_their_window_closes(#[case] logged: u64, #[case] lost: u64) {
    let mut meter = meter();
    begin(&mut meter, "one", 10_000);
    begin(&mut meter, "one", 10_000);
    begin(&mut meter, "one", 15_000);
    let last_report = meter.report().number;
    assert_eq!(
        meter.on_receipt(&receipt(logged * last_report, Some(2)), NOW),
        lost
    );
    let left = if logged == 1 {
        vec![]
    } else {
        vec![(3, "one", 1)]
    };
    assert_eq!(counts(&meter.report()), left);
}

/// Windows follow the leader's time, not this process's clock.
#[rstest]
#[case::ahead(3_000, 2)]
#[case::behind(8_000, 3)]
fn windows_follow_the_leaders_time(#[case] at: u64, #[case] window: u64) {
    let mut meter = meter();
    // The leader's time is 12 s, this process's clock shows 4 s.
    meter.on_receipt(&receipt(0, None), Millis(4_000));
    begin(&mut meter, "one", at);
    assert_eq!(counts(&meter.report())[0].0, window);
}
