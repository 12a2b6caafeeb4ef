//! Counts headers in answers of back ends that the adapter does not know or can't read.
//! They would be dropped without a trace otherwise.

use std::cell::RefCell;
use std::collections::BTreeSet;

use crate::metrics::GatewayMetrics;
use crate::ports::{Job, ParsedHead};

/// Maximum number of distinct names that are counted, since a back end may send any.
const MAX_NAMES: usize = 32;
/// Maximum length of such a name, which becomes a label of a metric.
const MAX_NAME_BYTES: usize = 64;
/// The label under which all further and all longer names are counted.
const OTHER_NAMES: &str = "other";

/// Header names that were seen so far.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders(RefCell<BTreeSet<String>>);

impl UnknownHeaders {
    /// Counts the unknown headers of an answer, and logs each name the first time.
    pub(crate) fn note(&self, metrics: &GatewayMetrics, job: &Job, parsed: &ParsedHead) {
        for (name, value) in &parsed.unknown_headers {
            let mut seen = self.0.borrow_mut();
            if seen.contains(name.as_str()) {
                metrics.unknown_name(name.as_str());
            } else if seen.len() < MAX_NAMES && name.as_str().len() <= MAX_NAME_BYTES {
                seen.insert(name.as_str().to_owned());
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
