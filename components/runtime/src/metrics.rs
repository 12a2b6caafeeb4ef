//! Metrics in the Prometheus text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Metric, Registry};

/// Content type of the text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// One value with its labels.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Metric name without the common prefix.
    pub name: &'static str,
    /// Help text, one sentence.
    pub help: &'static str,
    /// Labels.
    pub labels: Vec<(String, String)>,
    /// Value.
    pub value: i64,
}

impl Sample {
    /// Creates a sample without labels.
    pub fn new(name: &'static str, help: &'static str, value: u64) -> Self {
        Sample {
            name,
            help,
            labels: Vec::new(),
            value: gauge_value(value),
        }
    }

    /// Adds a label.
    #[must_use]
    pub fn label(mut self, key: &str, value: &str) -> Self {
        self.labels.push((key.to_owned(), value.to_owned()));
        self
    }
}

/// Last line of the text format.
const END_OF_TEXT: &str = "# EOF\n";

/// Encodes the metrics of a registry as text.
pub fn encode_registry(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _written = encode(&mut text, registry);
    text
}

/// Registers a metric and returns it.
pub fn registered<M: Metric + Clone>(
    registry: &mut Registry,
    name: &str,
    help: &str,
    metric: M,
) -> M {
    registry.register(name, help, metric.clone());
    metric
}

/// Converts a count to the value of a gauge.
pub fn gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Joins two pages of metrics.
pub fn join_pages(first: &str, second: &str) -> String {
    let first = first.strip_suffix(END_OF_TEXT).unwrap_or(first);
    format!("{first}{second}")
}

/// Encodes samples as text; samples of the same name must be adjacent.
pub fn render(samples: &[Sample]) -> String {
    let mut registry = Registry::with_prefix("garnet");
    let mut at = 0;
    while at < samples.len() {
        let name = samples[at].name;
        let family = Family::<Vec<(String, String)>, Gauge>::default();
        registry.register(name, samples[at].help.trim_end_matches('.'), family.clone());
        while at < samples.len() && samples[at].name == name {
            family
                .get_or_create(&samples[at].labels)
                .set(samples[at].value);
            at += 1;
        }
    }
    encode_registry(&registry)
}
