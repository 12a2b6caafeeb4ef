//! Usage counts in the log: what is reported of a window never changes.

use garnet_control::{Command, ControlState, UsageCount, UsageReport, WindowCounts};
use garnet_types::{GatewayId, TenantId, UsageWindow};
use proptest::prelude::*;

use crate::fleet::Log;

pub fn report(gateway: &str, number: u64, counts: &[(u64, &str, u64)]) -> UsageReport {
    let count = |(window, tenant, requests): &(u64, &str, u64)| UsageCount {
        window: UsageWindow(*window),
        tenant: TenantId::new(*tenant),
        requests: *requests,
    };
    UsageReport {
        gateway: GatewayId::new(gateway),
        number,
        counts: counts.iter().map(count).collect(),
    }
}

fn counts(expected: &[(&str, u64)]) -> WindowCounts {
    let count = |(tenant, requests): &(&str, u64)| (TenantId::new(*tenant), *requests);
    expected.iter().map(count).collect()
}

fn count(log: &mut Log, reports: Vec<UsageReport>) {
    log.apply(Command::CountUsage(reports));
}

fn close(log: &mut Log, window: u64) {
    log.apply(Command::CloseUsage(UsageWindow(window)));
}

fn unreported(log: &Log, window: u64) -> Option<&WindowCounts> {
    log.state.usage.unreported().get(&UsageWindow(window))
}

#[test]
fn a_window_is_the_sum_of_the_gateways_counts() {
    let mut log = Log::default();
    count(&mut log, vec![report("g1", 1, &[(7, "one", 2)])]);
    let second = report("g2", 1, &[(7, "one", 1), (7, "two", 4), (8, "two", 1)]);
    count(&mut log, vec![second]);
    close(&mut log, 7);
    assert_eq!(
        unreported(&log, 7),
        Some(&counts(&[("one", 3), ("two", 4)]))
    );
    assert_eq!(unreported(&log, 8), None);
    assert_eq!(log.state.usage.closed_through(), Some(UsageWindow(7)));
}

#[test]
fn a_repeated_report_counts_once() {
    let mut log = Log::default();
    let first = report("g1", 1, &[(7, "one", 2)]);
    let second = report("g1", 2, &[(7, "one", 5)]);
    count(&mut log, vec![first.clone(), second.clone()]);
    // An older report arrives later: totals only grow.
    count(&mut log, vec![second, first]);
    close(&mut log, 7);
    assert_eq!(unreported(&log, 7), Some(&counts(&[("one", 5)])));
}

/// A restarted gateway counts from zero.
#[test]
fn a_restarted_gateway_adds_to_its_earlier_counts() {
    let mut log = Log::default();
    count(&mut log, vec![report("g1.a", 4, &[(7, "one", 2)])]);
    count(&mut log, vec![report("g1.b", 1, &[(7, "one", 1)])]);
    close(&mut log, 7);
    assert_eq!(unreported(&log, 7), Some(&counts(&[("one", 3)])));
}

#[test]
fn a_report_after_the_closing_changes_nothing() {
    let mut log = Log::default();
    count(&mut log, vec![report("g1", 1, &[(7, "one", 2)])]);
    close(&mut log, 7);
    count(
        &mut log,
        vec![report("g1", 2, &[(7, "one", 3), (6, "one", 1)])],
    );
    close(&mut log, 7);
    close(&mut log, 6);
    assert_eq!(unreported(&log, 7), Some(&counts(&[("one", 2)])));
    assert_eq!(unreported(&log, 6), None);
}

/// A window in which nothing ran, or in which there was no leader, is reported as well.
#[test]
fn skipped_windows_are_closed_too() {
    let mut log = Log::default();
    close(&mut log, 3);
    count(&mut log, vec![report("g1", 1, &[(5, "one", 2)])]);
    close(&mut log, 6);
    let windows: Vec<u64> = log.state.usage.unreported().keys().map(|w| w.0).collect();
    assert_eq!(windows, [3, 4, 5, 6]);
    assert_eq!(unreported(&log, 4), Some(&WindowCounts::new()));
    assert_eq!(unreported(&log, 5), Some(&counts(&[("one", 2)])));
}

#[test]
fn unreported_windows_are_bounded() {
    let mut log = Log::default();
    close(&mut log, 1_000);
    for window in 1_001..1_400 {
        close(&mut log, window);
    }
    let usage = &log.state.usage;
    assert_eq!(usage.unreported().len(), 120);
    close(&mut log, 1_000_000);
    assert!(log.state.usage.unreported().len() <= 120, "a long absence");
}

/// A gateway with counts in the window that was closed last still gets a receipt for them.
#[test]
fn a_gateway_gets_a_receipt_for_what_is_in_the_log() {
    let mut log = Log::default();
    let gateway = GatewayId::new("g1");
    count(&mut log, vec![report("g1", 3, &[(7, "one", 2)])]);
    assert_eq!(log.state.usage.logged(&gateway), 3);
    close(&mut log, 7);
    assert_eq!(log.state.usage.logged(&gateway), 3);
    close(&mut log, 8);
    assert_eq!(log.state.usage.logged(&gateway), 0);
}

#[test]
fn a_reported_window_is_removed() {
    let mut log = Log::default();
    close(&mut log, 7);
    log.apply(Command::UsageTold(UsageWindow(7)));
    close(&mut log, 7);
    assert_eq!(unreported(&log, 7), None);
}

proptest! {
    /// Whatever the order of reports, their repeats and the snapshots between them, the sum
    /// of a window is that of the last report of each gateway.
    #[test]
    fn order_and_repeats_change_nothing(
        steps in proptest::collection::vec((0_usize..3, 0_u64..3, 1_u64..4, any::<bool>()), 1..40),
        repeats in proptest::collection::vec(0_usize..40, 0..20),
    ) {
        let mut totals = std::collections::BTreeMap::<(usize, u64), u64>::new();
        let mut reports = Vec::new();
        for (number, (gateway, window, more, _)) in steps.iter().enumerate() {
            let total = totals.entry((*gateway, *window)).or_default();
            *total += more;
            let changed = [(*window, "one", *total)];
            reports.push(report(&format!("g{gateway}"), number as u64 + 1, &changed));
        }
        let again: Vec<_> = repeats.iter().filter_map(|r| reports.get(*r).cloned()).collect();
        let mut log = Log::default();
        for (sent, (.., snapshot)) in reports.into_iter().chain(again).zip(steps.iter().cycle()) {
            count(&mut log, vec![sent]);
            if *snapshot {
                log.state = ControlState::decode(&log.state.encode().expect("its own format")).expect("own bytes");
            }
        }
        close(&mut log, 2);
        for window in 0..3 {
            let of_window = totals.iter().filter(|((_, w), _)| *w == window);
            let sum: u64 = of_window.map(|(_, total)| total).sum();
            let counted = unreported(&log, window).and_then(|c| c.get(&TenantId::new("one")));
            prop_assert_eq!(counted.copied().unwrap_or_default(), sum);
        }
    }
}
