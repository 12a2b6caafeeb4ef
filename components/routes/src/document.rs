//! Documents that operators write: a route table in JSON, with the table's field names.

use crate::check::RouteFindings;
use crate::table::RouteTable;

/// Parses and checks a document.
///
/// # Errors
/// All findings. A text that can't be parsed has a single finding.
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
