//! A page shows what was measured, and refuses what it can't read.

use rstest::rstest;

use super::page::{escaped, page};
use super::parse;
use crate::load::figures::{Figures, Outcome};

fn load() -> String {
    let mut figures = Figures::default();
    figures.count(Outcome::Answered);
    figures.call.note(std::time::Duration::from_millis(7));
    serde_json::to_string(&figures.report(1, 20.0, 10.0)).expect("plain data")
}

const STRATEGY: &str = r#"{"goodput_per_s": 9.5, "on_time_share": 0.9, "role_changes": 3}"#;

fn mix_shift() -> String {
    format!(
        r#"{{"deployment": "a<b", "planner": {STRATEGY}, "fixed": {STRATEGY},
            "reactive": {STRATEGY}, "foresight": {STRATEGY}}}"#
    )
}

const SOAK: &str = r#"{"soak_seed": 7, "struck": {"replica-kill": 2}, "calls": {"Answered": 5},
    "streams": {"Answered": 4}, "acknowledged": 3, "reads": 2, "findings": ["key-1: ran 2 times"]}"#;

#[test]
fn every_kind_of_file_has_its_section() {
    let texts = [load(), mix_shift(), SOAK.to_owned()];
    let files: Vec<_> = texts
        .iter()
        .map(|text| ("a file".to_owned(), parse(text).expect("it can be drawn")))
        .collect();
    let page = page(&files).expect("a page");
    for shown in ["Whole answers", "Useful answers", "a&lt;b", "ran 2 times"] {
        assert!(page.contains(shown), "{shown}");
    }
    assert_eq!(page.matches("<svg").count(), 7);
}

#[rstest]
#[case::no_json("seed=1", "expected")]
#[case::another_shape("{\"name\": 1}", "neither of load")]
fn what_can_not_be_drawn_is_told(#[case] text: &str, #[case] finding: &str) {
    let told = parse(text).expect_err("it is nothing of ours");
    assert!(told.contains(finding), "{told}");
}

#[test]
fn names_are_shown_as_they_are() {
    assert_eq!(escaped("<a & b>"), "&lt;a &amp; b&gt;");
}
