//! A gateway with what it keeps on disk, as a host of the simulation.

use std::collections::{BTreeMap, BTreeSet};

use garnet_gateway::{AttemptId, Gateway, GatewaySettings};
use garnet_types::{EncodingVersion, GatewayId, Millis, RequestId};

use crate::message::Host;
use crate::world::ReportTarget;

/// One place for a gateway.
pub(crate) struct GatewayHost {
    place: usize,
    pub(crate) gateway: Option<Gateway>,
    starts: u64,
    seed: u64,
    /// Highest configuration index on its disk.
    pub(crate) persisted_index: u64,
    /// Replica that it talks to.
    pub(crate) control: usize,
    /// Callers' requests that it holds.
    pub(crate) open_calls: BTreeSet<RequestId>,
    /// Attempts under way and where.
    pub(crate) attempts: BTreeMap<AttemptId, Host>,
    pub(crate) draining: bool,
    /// Place, start and version of the replica of its last connection to a leader.
    pub(crate) leader_connection: Option<(usize, u64, EncodingVersion)>,
    /// Replica that it reports ended runs to.
    pub(crate) report_target: Option<ReportTarget>,
    pub(crate) reported_at: Millis,
    /// Version of the build that its next start is of, or its present one.
    pub(crate) version: EncodingVersion,
}

impl GatewayHost {
    pub(crate) fn new(place: usize, seed: u64) -> Self {
        GatewayHost {
            place,
            gateway: None,
            starts: 0,
            seed,
            persisted_index: 0,
            control: place,
            open_calls: BTreeSet::new(),
            attempts: BTreeMap::new(),
            draining: false,
            leader_connection: None,
            report_target: None,
            reported_at: Millis::ZERO,
            version: EncodingVersion::CURRENT,
        }
    }

    /// The same with a build of this version.
    pub(crate) fn of_version(self, version: EncodingVersion) -> Self {
        Self { version, ..self }
    }

    /// Starts the gateway from what its disk holds.
    pub(crate) fn start(&mut self) {
        self.starts += 1;
        let id = GatewayId::new(format!("gateway-{}.{}", self.place, self.starts));
        self.gateway = Some(Gateway::new(GatewaySettings {
            highest_index: self.persisted_index,
            records_crashes: self.version > EncodingVersion::V11,
            ..GatewaySettings::new(id, self.seed + self.starts)
        }));
        self.draining = false;
        self.leader_connection = None;
        self.report_target = None;
    }

    /// Ends the process.
    pub(crate) fn crash(&mut self) {
        self.gateway = None;
        self.open_calls.clear();
        self.attempts.clear();
    }

    /// Number of this start, to tell messages of an earlier one.
    pub(crate) fn starts(&self) -> u64 {
        self.starts
    }
}
