//! The shortest list of faults that still breaks a rule.

use crate::faults::Fault;
use crate::scenario::{Report, Scenario};
use crate::world::run;

/// Runs that the search may take.
const MOST_RUNS: usize = 60;

/// Leaves out one fault after the other while the same rule still breaks.
/// Gives the faults that are left and the report of the last failing run.
pub fn shrink(scenario: &Scenario, report: Report) -> (Vec<Fault>, Report) {
    let Some(rule) = report.violations.first().map(|one| one.invariant) else {
        return (report.faults.clone(), report);
    };
    let mut faults = report.faults.clone();
    let mut last = report;
    let mut runs = 0;
    let mut position = 0;
    while position < faults.len() && runs < MOST_RUNS {
        runs += 1;
        let mut fewer = faults.clone();
        fewer.remove(position);
        let attempt = Scenario {
            faults: Some(fewer.clone()),
            ..scenario.clone()
        };
        let report = run(&attempt);
        if report.violations.iter().any(|one| one.invariant == rule) {
            faults = fewer;
            last = report;
        } else {
            position += 1;
        }
    }
    (faults, last)
}
