//! The level: the encoding version of log entries, which every member can read.
//!
//! Contract: an entry is written in the level's version, so that each member can apply it.
//! The level rises when each member and each gateway has shown that it reads the current
//! version, and only after a rollback window, in which the upgrade can still be undone:
//! afterwards earlier builds can't read the log any more.

use std::collections::BTreeMap;

use displaydoc::Display;
use garnet_consensus::ProposeError;
use garnet_types::{EncodingVersion, GatewayId, Millis, ReplicaId};
use thiserror::Error;

use super::Replica;
use crate::command::Command;
use crate::encoding::{EntryError, NotInVersion};
use crate::state::ControlState;

/// A member that was silent for longer may have been replaced by another build, so its
/// recorded version no longer counts.
const MAX_MEMBER_SILENCE: Millis = Millis(1000);

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

/// Encoding versions that the members and gateways use.
#[derive(Debug, Default)]
pub(super) struct Versions {
    members: BTreeMap<ReplicaId, EncodingVersion>,
    /// Versions of gateways by connection; only those of earlier versions.
    earlier_gateways: BTreeMap<u64, EncodingVersion>,
    /// Versions of gateways by name; only those of earlier versions.
    earlier_gateway_names: BTreeMap<GatewayId, EncodingVersion>,
    /// When the last connection of a gateway of an earlier version closed.
    earlier_gateway_closed_at: Option<Millis>,
    /// Since when every connected process has supported a higher level.
    ready_since: Option<Millis>,
    /// Whether a requested change needs a higher level.
    is_level_requested: bool,
    /// The version of the entries written in this term, once it is known.
    entry_version_of_term: Option<EncodingVersion>,
}

impl Versions {
    /// Resets the state that belongs to one term.
    pub(super) fn begin_term(&mut self) {
        self.ready_since = None;
        self.is_level_requested = false;
        self.entry_version_of_term = None;
    }

    /// The version that a gateway's connection uses.
    pub(super) fn of_connection(&self, connection: u64) -> EncodingVersion {
        let earlier = self.earlier_gateways.get(&connection);
        earlier.copied().unwrap_or(EncodingVersion::CURRENT)
    }

    /// The earliest recorded version of any process.
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

    /// The level, or `None` while the log does not show it.
    pub fn level(&self) -> Option<EncodingVersion> {
        self.state.encoding.level()
    }

    /// The version that a member used when it last connected.
    pub(super) fn member_version(&self, id: ReplicaId) -> Option<EncodingVersion> {
        if id == self.node.id() {
            return Some(self.version());
        }
        self.versions.members.get(&id).copied()
    }

    pub(super) fn record_member_version(&mut self, id: ReplicaId, version: EncodingVersion) {
        self.versions.members.insert(id, version);
    }

    pub(super) fn on_gateway_opened(&mut self, connection: u64, version: EncodingVersion) {
        if version < self.version() {
            self.versions.earlier_gateways.insert(connection, version);
        } else {
            self.on_gateway_closed(connection);
        }
    }

    /// Records the version of a gateway under its name.
    pub(super) fn record_gateway_name(&mut self, connection: u64, gateway: &GatewayId) {
        if let Some(version) = self.versions.earlier_gateways.get(&connection) {
            let names = &mut self.versions.earlier_gateway_names;
            names.insert(gateway.clone(), *version);
        }
    }

    /// The version that a gateway uses.
    pub(super) fn gateway_version(&self, gateway: &GatewayId) -> EncodingVersion {
        let earlier = self.versions.earlier_gateway_names.get(gateway);
        earlier.copied().unwrap_or(self.version())
    }

    /// Removes the names of gateways that no longer exist.
    pub(super) fn prune_gateway_names(&mut self) {
        let gateways = &self.gateways;
        let names = &mut self.versions.earlier_gateway_names;
        names.retain(|gateway, _| gateways.is_known(gateway));
    }

    /// Count of members and connected gateways known to use an earlier version.
    pub fn earlier_processes(&self) -> usize {
        let own_version = self.version();
        let is_earlier = |version: &&EncodingVersion| **version < own_version;
        let members = &self.node.membership().members;
        let member_versions = self.versions.members.iter();
        let member_versions = member_versions.filter(|(id, _)| members.contains_key(id));
        let members = member_versions
            .map(|(_, version)| version)
            .filter(is_earlier);
        members.count() + self.versions.earlier_gateways.len()
    }

    pub(super) fn on_gateway_closed(&mut self, connection: u64) {
        if self.versions.earlier_gateways.remove(&connection).is_some() {
            self.versions.earlier_gateway_closed_at = Some(self.now);
        }
    }

    /// Whether entries are written in a version that has all commands, which is any after
    /// version 11.
    pub(super) fn has_all_commands(&self) -> bool {
        let version = self.versions.entry_version_of_term.or(self.level());
        version.is_none_or(|version| version > EncodingVersion::V11)
    }

    /// The version in which the next entry is written.
    pub(super) fn entry_version(&mut self) -> Result<EncodingVersion, ProposalError> {
        if let Some(version) = self.versions.entry_version_of_term {
            return Ok(version);
        }
        let version = self.version_after_log()?;
        self.versions.entry_version_of_term = Some(version);
        Ok(version)
    }

    /// The version that continues the log of this new leader. All of that log will be
    /// committed.
    fn version_after_log(&self) -> Result<EncodingVersion, ProposalError> {
        let mut encoding = self.state.encoding.clone();
        let mut is_empty = self.state == ControlState::default();
        for command in self.node.unapplied_commands() {
            encoding.decode_up_to(self.version(), command)?;
            is_empty = false;
        }
        let own_version = self.version();
        match encoding.level() {
            // Builds of versions 12 to 15 can't be members of the same group as this build.
            Some(EncodingVersion::V12) => Ok(own_version),
            Some(level) => Ok(level),
            // Builds of a single version wrote the log, and some of them may still run.
            None => match self.versions.earliest() {
                Some(earliest) if earliest < own_version => Ok(earliest),
                _ if is_empty || self.all_support_own_version() => Ok(own_version),
                _ => Err(ProposalError::LevelUnknown),
            },
        }
    }

    /// Raises the level if that is due.
    pub(super) fn raise_level_if_due(&mut self) {
        let Some(level) = self.level() else {
            return;
        };
        let is_proposed = self.versions.entry_version_of_term >= Some(self.version());
        if level >= self.version() || is_proposed {
            return;
        }
        let is_ready =
            self.unconfirmed_members().is_empty() && self.versions.earlier_gateways.is_empty();
        if !is_ready {
            self.versions.ready_since = None;
            return;
        }
        let ready_since = *self.versions.ready_since.get_or_insert(self.now);
        let closed_at = self.versions.earlier_gateway_closed_at;
        let since = ready_since.max(closed_at.unwrap_or_default());
        let is_due = self.now.since(since) >= self.settings.upgrade.rollback_window;
        if is_due || (self.versions.is_level_requested && !self.has_earlier_gateways()) {
            self.raise_level();
        }
    }

    /// Raises the level now.
    ///
    /// # Errors
    /// When a member or a gateway does not read the current version, or has not shown that
    /// it does.
    pub(super) fn raise_level_now(&mut self) -> Result<(), String> {
        if self.level() >= Some(self.version()) {
            return Ok(());
        }
        if !self.all_support_own_version() {
            return Err(self.reason_not_raised());
        }
        self.raise_level();
        Ok(())
    }

    /// Records that a requested change needs a higher level.
    pub(super) fn request_level(&mut self) {
        self.versions.is_level_requested = true;
    }

    fn raise_level(&mut self) {
        let version = self.version();
        let previous = self.versions.entry_version_of_term.replace(version);
        if self.propose_own(Command::RaiseLevel(version)).is_none() {
            self.versions.entry_version_of_term = previous;
        }
    }

    fn all_support_own_version(&self) -> bool {
        self.unconfirmed_members().is_empty() && !self.has_earlier_gateways()
    }

    fn has_earlier_gateways(&self) -> bool {
        let versions = &self.versions;
        let is_recent = |at: Millis| self.now.since(at) < self.settings.upgrade.rollback_window;
        !versions.earlier_gateways.is_empty()
            || versions.earlier_gateway_closed_at.is_some_and(is_recent)
    }

    fn unconfirmed_members(&self) -> Vec<ReplicaId> {
        let own = self.node.id();
        let members = self.node.membership().members.keys();
        let is_confirmed = |id: &ReplicaId| {
            let version = self.versions.members.get(id);
            version >= Some(&self.version()) && self.node.silent_for(*id) <= MAX_MEMBER_SILENCE
        };
        members
            .filter(|id| **id != own && !is_confirmed(id))
            .copied()
            .collect()
    }

    fn reason_not_raised(&self) -> String {
        let members: Vec<String> = self
            .unconfirmed_members()
            .iter()
            .map(ReplicaId::to_string)
            .collect();
        let gateways = self.versions.earlier_gateways.len();
        format!(
            "encoding version {} is not confirmed by replicas [{}] and {gateways} connected gateways",
            self.version(),
            members.join(", ")
        )
    }
}
