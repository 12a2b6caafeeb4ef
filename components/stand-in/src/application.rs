//! A stand-in for an application, which runs every call and keeps a journal of the runs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Runs at one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Number of runs by idempotency key.
    pub runs: BTreeMap<String, u64>,
    /// Number of runs without a key.
    pub unkeyed: u64,
}

/// Answer of an application instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationAnswer {
    /// Name of the instance.
    pub instance: String,
    /// Path of the call.
    pub path: String,
    /// Number of the run at this instance.
    pub run: u64,
    /// Body of the call, so that the caller can check it.
    pub echo: String,
}

/// One instance of an application. It does not deduplicate calls, so that the journal
/// shows any second run.
#[derive(Debug, Clone)]
pub struct ApplicationStandIn {
    instance: String,
    journal: Journal,
    runs: u64,
}

impl ApplicationStandIn {
    /// Creates an instance with an empty journal.
    pub fn new(instance: impl Into<String>) -> Self {
        ApplicationStandIn {
            instance: instance.into(),
            journal: Journal::default(),
            runs: 0,
        }
    }

    /// Runs a call and records it in the journal.
    pub fn run(&mut self, path: &str, key: Option<&str>, body: &str) -> ApplicationAnswer {
        self.runs += 1;
        match key {
            Some(key) => *self.journal.runs.entry(key.to_owned()).or_default() += 1,
            None => self.journal.unkeyed += 1,
        }
        ApplicationAnswer {
            instance: self.instance.clone(),
            path: path.to_owned(),
            run: self.runs,
            echo: body.to_owned(),
        }
    }

    /// Runs so far.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }
}
