//! Unknown header names in answers of back ends.
//!
//! A header that the adapter does not know would be dropped without a trace otherwise.

use std::cell::RefCell;
use std::collections::BTreeSet;

use crate::metrics::GatewayMetrics;
use crate::ports::{Job, ReadHead};

/// Most distinct names that are counted; a back end may send any.
const MOST_NAMES: usize = 32;
/// Stands for all names beyond these.
const OTHER_NAMES: &str = "other";

/// Names that were met so far.
#[derive(Debug, Default)]
pub(crate) struct UnknownNames(RefCell<BTreeSet<String>>);

impl UnknownNames {
    /// Counts the names of an answer, and logs each one the first time.
    pub(crate) fn note(&self, metrics: &GatewayMetrics, job: &Job, read: &ReadHead) {
        for (name, value) in &read.unknown {
            let mut met = self.0.borrow_mut();
            if met.contains(name.as_str()) {
                metrics.unknown_name(name.as_str());
            } else if met.len() < MOST_NAMES {
                met.insert(name.as_str().to_owned());
                metrics.unknown_name(name.as_str());
                log::warn!(
                    name = name.as_str(),
                    value = value.to_str().unwrap_or_default(),
                    backend = job.backend.as_str();
                    "answer_name_unknown"
                );
            } else {
                metrics.unknown_name(OTHER_NAMES);
            }
        }
    }
}
