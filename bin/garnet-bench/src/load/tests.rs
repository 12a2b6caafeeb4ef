//! Arrivals come at the rate that was asked for, and figures add up.

use std::time::Duration;

use rstest::rstest;

use super::arrivals::{Arrivals, Work};
use super::figures::{Figures, Outcome};

#[rstest]
#[case::few(5.0, 0.5)]
#[case::many(400.0, 0.1)]
fn arrivals_keep_rate_and_mix(#[case] rate_per_s: f64, #[case] text_share: f64) {
    let arrivals: Vec<_> = Arrivals::new(7, rate_per_s, text_share)
        .take(4000)
        .collect();
    let last = arrivals.last().expect("4000 of them");
    let seen = 4000.0 / last.due.as_secs_f64();
    assert!((seen / rate_per_s - 1.0).abs() < 0.1, "{seen} a second");
    let texts = arrivals.iter().filter(|a| a.work == Work::Text).count();
    let share = texts as f64 / 4000.0;
    assert!((share - text_share).abs() < 0.03, "{share} are texts");
    let in_order = arrivals.windows(2).all(|pair| pair[0].due <= pair[1].due);
    assert!(in_order);
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let drawn = |seed| Arrivals::new(seed, 20.0, 0.5).take(50).collect::<Vec<_>>();
    assert_eq!(drawn(3), drawn(3));
    assert_ne!(drawn(3), drawn(4));
}

#[test]
fn figures_count_each_outcome_and_tell_quantiles() {
    let mut figures = Figures::default();
    for ms in 1..=100 {
        figures.call.note(Duration::from_millis(ms));
        figures.count(Outcome::Answered);
    }
    figures.count(Outcome::NotRun);
    let report = figures.report(1, 20.0, 10.0);
    assert_eq!(report.outcomes[&Outcome::Answered], 100);
    assert_eq!(report.outcomes[&Outcome::NotRun], 1);
    assert_eq!(report.answered_per_s, 10.0);
    let middle = report.call.quantiles.iter().find(|q| q.quantile == 0.5);
    let middle = middle.expect("it is told").ms;
    assert!((50.0..51.0).contains(&middle), "{middle}");
    assert_eq!(report.text.count, 0);
}
