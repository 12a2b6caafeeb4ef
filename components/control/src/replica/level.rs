//! The level: the version of log entries that each member can read.
//!
//! Contract: an entry is written in the version of the level, so that each member applies
//! it. The level rises when each member and each gateway has shown that it reads the
//! present version, and stays a while after that, so that an upgrade can still be rolled
//! back: after it, earlier builds read the log no longer.

use std::collections::BTreeMap;

use displaydoc::Display;
use garnet_consensus::ProposeError;
use garnet_types::{EncodingVersion, GatewayId, Millis, ReplicaId};
use thiserror::Error;

use super::Replica;
use crate::command::Command;
use crate::encoding::{EntryError, NotInVersion};
use crate::state::ControlState;

/// A member that was silent for longer may have been replaced by another build.
const MEMBER_FRESH: Millis = Millis(1000);

/// Why a command is not proposed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(super) enum ProposalError {
    /// {0}
    Consensus(#[from] ProposeError),
    /// the log can't be read: {0}
    LogNotReadable(#[from] EntryError),
    /// which builds have written the log is not known yet
    LevelUnknown,
    /// {0}, which some processes still run
    Level(#[from] NotInVersion),
}

/// Which versions others speak.
#[derive(Debug, Default)]
pub(super) struct Versions {
    members: BTreeMap<ReplicaId, EncodingVersion>,
    /// By connection; only those of earlier versions.
    earlier_gateways: BTreeMap<u64, EncodingVersion>,
    /// By name; only those of earlier versions.
    earlier_gateway_names: BTreeMap<GatewayId, EncodingVersion>,
    /// When a gateway of an earlier version was connected last.
    earlier_gateway_at: Option<Millis>,
    /// Since when the level could rise.
    complete_since: Option<Millis>,
    /// Whether something that needs a higher level is asked for.
    is_level_needed: bool,
    /// The version of the entries of this term, once it is known.
    of_entries: Option<EncodingVersion>,
}

impl Versions {
    /// Forgets what belongs to one term of leadership.
    pub(super) fn begin_term(&mut self) {
        self.complete_since = None;
        self.is_level_needed = false;
        self.of_entries = None;
    }

    /// The version that a gateway's connection speaks.
    pub(super) fn of_gateway(&self, connection: u64) -> EncodingVersion {
        let earlier = self.earlier_gateways.get(&connection);
        earlier.copied().unwrap_or(EncodingVersion::CURRENT)
    }

    /// The earliest version of any process that is known.
    fn earliest(&self) -> Option<EncodingVersion> {
        let gateways = self.earlier_gateways.values();
        self.members.values().chain(gateways).min().copied()
    }
}

impl Replica {
    /// The highest version that this replica reads and writes.
    pub fn version(&self) -> EncodingVersion {
        self.settings.upgrade.version
    }

    /// The level, as far as the log shows it.
    pub fn level(&self) -> Option<EncodingVersion> {
        self.state.encoding.level()
    }

    /// The version that a member spoke when it connected last.
    pub(super) fn member_version(&self, id: ReplicaId) -> Option<EncodingVersion> {
        if id == self.node.id() {
            return Some(self.version());
        }
        self.versions.members.get(&id).copied()
    }

    pub(super) fn note_member_version(&mut self, id: ReplicaId, version: EncodingVersion) {
        self.versions.members.insert(id, version);
    }

    pub(super) fn note_gateway_opened(&mut self, connection: u64, version: EncodingVersion) {
        if version < self.version() {
            self.versions.earlier_gateways.insert(connection, version);
        } else {
            self.note_gateway_closed(connection);
        }
    }

    /// Notes which gateway is at the other end of a connection.
    pub(super) fn note_gateway_name(&mut self, connection: u64, gateway: &GatewayId) {
        if let Some(version) = self.versions.earlier_gateways.get(&connection) {
            let names = &mut self.versions.earlier_gateway_names;
            names.insert(gateway.clone(), *version);
        }
    }

    /// Version of a gateway that is known.
    pub(super) fn gateway_version(&self, gateway: &GatewayId) -> EncodingVersion {
        let earlier = self.versions.earlier_gateway_names.get(gateway);
        earlier.copied().unwrap_or(self.version())
    }

    /// Forgets gateways that are gone.
    pub(super) fn forget_gateway_names(&mut self) {
        let gateways = &self.gateways;
        let names = &mut self.versions.earlier_gateway_names;
        names.retain(|gateway, _| gateways.is_known(gateway));
    }

    /// Members and connected gateways of earlier versions, as far as known.
    pub fn earlier_processes(&self) -> usize {
        let present = self.version();
        let is_earlier = |version: &&EncodingVersion| **version < present;
        let members = &self.node.membership().members;
        let of_members = self.versions.members.iter();
        let of_members = of_members.filter(|(id, _)| members.contains_key(id));
        let members = of_members.map(|(_, version)| version).filter(is_earlier);
        members.count() + self.versions.earlier_gateways.len()
    }

    pub(super) fn note_gateway_closed(&mut self, connection: u64) {
        if self.versions.earlier_gateways.remove(&connection).is_some() {
            self.versions.earlier_gateway_at = Some(self.now);
        }
    }

    /// Whether the level has all commands: those after version 11.
    pub(super) fn has_all_commands(&self) -> bool {
        let version = self.versions.of_entries.or(self.level());
        version.is_none_or(|version| version > EncodingVersion::V11)
    }

    /// The version to write the next entry in.
    pub(super) fn entry_version(&mut self) -> Result<EncodingVersion, ProposalError> {
        if let Some(version) = self.versions.of_entries {
            return Ok(version);
        }
        let version = self.version_after_log()?;
        self.versions.of_entries = Some(version);
        Ok(version)
    }

    /// The version that goes on from the log of this new leader, all of which will be
    /// committed.
    fn version_after_log(&self) -> Result<EncodingVersion, ProposalError> {
        let mut encoding = self.state.encoding.clone();
        let mut is_empty = self.state == ControlState::default();
        for command in self.node.unapplied_commands() {
            encoding.decode_by(self.version(), command)?;
            is_empty = false;
        }
        let present = self.version();
        match encoding.level() {
            // No build of these versions can be a member beside this one.
            Some(EncodingVersion::V12) => Ok(present),
            Some(level) => Ok(level),
            // Builds of one version wrote it, and some of them may still run.
            None => match self.versions.earliest() {
                Some(earliest) if earliest < present => Ok(earliest),
                _ if is_empty || self.all_read_present_version() => Ok(present),
                _ => Err(ProposalError::LevelUnknown),
            },
        }
    }

    /// Raises the level where it is time.
    pub(super) fn raise_level_if_due(&mut self) {
        let Some(level) = self.level() else {
            return;
        };
        let is_raised = self.versions.of_entries >= Some(self.version());
        if level >= self.version() || is_raised {
            return;
        }
        if !self.all_read_present_version() {
            self.versions.complete_since = None;
            return;
        }
        let since = *self.versions.complete_since.get_or_insert(self.now);
        let is_due = self.now.since(since) >= self.settings.upgrade.rollback_window;
        if is_due || self.versions.is_level_needed {
            self.raise_level();
        }
    }

    /// Raises the level now.
    ///
    /// # Errors
    /// When a member or a gateway does not read the present version, or has not shown it.
    pub(super) fn raise_level_now(&mut self) -> Result<(), String> {
        if self.level() >= Some(self.version()) {
            return Ok(());
        }
        if !self.all_read_present_version() {
            return Err(self.why_not_raised());
        }
        self.raise_level();
        Ok(())
    }

    /// Notes that something needs a higher level than there is.
    pub(super) fn need_level(&mut self) {
        self.versions.is_level_needed = true;
    }

    fn raise_level(&mut self) {
        let version = self.version();
        let before = self.versions.of_entries.replace(version);
        if self.propose_own(Command::RaiseLevel(version)).is_none() {
            self.versions.of_entries = before;
        }
    }

    fn all_read_present_version(&self) -> bool {
        self.members_to_wait_for().is_empty() && !self.has_earlier_gateways()
    }

    fn has_earlier_gateways(&self) -> bool {
        let versions = &self.versions;
        let is_recent = |at: Millis| self.now.since(at) < self.settings.upgrade.rollback_window;
        !versions.earlier_gateways.is_empty() || versions.earlier_gateway_at.is_some_and(is_recent)
    }

    fn members_to_wait_for(&self) -> Vec<ReplicaId> {
        let own = self.node.id();
        let members = self.node.membership().members.keys();
        let has_shown = |id: &ReplicaId| {
            let version = self.versions.members.get(id);
            version >= Some(&self.version()) && self.node.silent_for(*id) <= MEMBER_FRESH
        };
        members
            .filter(|id| **id != own && !has_shown(id))
            .copied()
            .collect()
    }

    fn why_not_raised(&self) -> String {
        let members: Vec<String> = self
            .members_to_wait_for()
            .iter()
            .map(ReplicaId::to_string)
            .collect();
        let gateways = self.versions.earlier_gateways.len();
        format!(
            "encoding version {} is not shown by replicas [{}] and {gateways} connected gateways",
            self.version(),
            members.join(", ")
        )
    }
}
