//! Errors found in a document, with their places.

use std::fmt;

use thiserror::Error;

/// One error in a document, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file or document.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Dotted key; empty if the error concerns no key.
    pub key: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        formatter.write_str(&self.message)
    }
}

/// All findings of a document, in the order of their lines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    /// The findings, sorted by line, if there is at least one.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Findings> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by_key(|finding| finding.line);
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, finding) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
