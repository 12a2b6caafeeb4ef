//! A route table as operators write it: JSON in the table's own words.

use crate::check::RouteFindings;
use crate::table::RouteTable;

/// Reads and checks a document.
///
/// # Errors
/// Every finding; a text that is no document at all is one finding.
pub fn read_document(text: &str) -> Result<RouteTable, RouteFindings> {
    let table: RouteTable = serde_json::from_str(text).map_err(|error| {
        let mut findings = RouteFindings::default();
        let place = format!("line {} column {}", error.line(), error.column());
        findings.report(place, error.to_string());
        findings
    })?;
    table.check()?;
    Ok(table)
}
