//! What the other verbs wrote, as far as a report draws it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::load::figures::LoadReport;

/// One file.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(crate) enum Measured {
    /// Of `load`.
    Load(LoadReport),
    /// Of `mix-shift`.
    MixShift(MixShiftReport),
    /// Of `soak`.
    Soak(SoakReport),
}

/// Strategies over one shifting mix.
#[derive(Debug, Deserialize)]
pub(crate) struct MixShiftReport {
    pub(crate) deployment: String,
    pub(crate) planner: Strategy,
    pub(crate) fixed: Strategy,
    pub(crate) reactive: Strategy,
    pub(crate) foresight: Strategy,
}

/// One strategy.
#[derive(Debug, Deserialize)]
pub(crate) struct Strategy {
    pub(crate) goodput_per_s: f64,
    pub(crate) on_time_share: f64,
    pub(crate) role_changes: u64,
}

/// A fault soak.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SoakReport {
    pub(crate) soak_seed: u64,
    /// How often each kind of fault struck.
    pub(crate) struck: BTreeMap<String, u64>,
    /// What became of calls.
    pub(crate) calls: BTreeMap<String, u64>,
    /// What became of streams.
    pub(crate) streams: BTreeMap<String, u64>,
    pub(crate) acknowledged: usize,
    pub(crate) reads: u64,
    /// Promises that were broken.
    pub(crate) findings: Vec<String>,
}
