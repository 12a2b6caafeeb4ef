//! An application service: it runs whatever reaches it, and keeps a journal.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What ran at one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Runs by idempotency key.
    pub runs: BTreeMap<String, u64>,
    /// Runs without a key.
    pub unkeyed: u64,
}

/// Answer of an application instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationAnswer {
    /// The instance.
    pub instance: String,
    /// Path that was called.
    pub path: String,
    /// Number of the run at this instance.
    pub run: u64,
    /// Body that came, so that the caller can check it.
    pub echo: String,
}

/// One instance. It does not look for repetitions: a second run shows.
#[derive(Debug, Clone)]
pub struct ApplicationStandIn {
    instance: String,
    journal: Journal,
    runs: u64,
}

impl ApplicationStandIn {
    /// An instance with an empty journal.
    pub fn new(instance: impl Into<String>) -> Self {
        ApplicationStandIn {
            instance: instance.into(),
            journal: Journal::default(),
            runs: 0,
        }
    }

    /// Runs a call.
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

    /// What ran so far.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }
}
