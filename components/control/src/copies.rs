//! Which engines hold which prompt prefixes, as reported by gateways.
//!
//! A gateway knows only of the prefixes that engines prefilled for its own requests. With
//! the copies of its peers it can have a prefix copied from an engine that holds it instead
//! of having it prefilled again. The table is only an estimate: it is bounded, never
//! logged, and a new leader starts without it.

use std::collections::{BTreeMap, VecDeque};

use garnet_types::{BackendId, GatewayId, Millis, PrefixId};

use crate::configuration::Configuration;
use crate::load_digest::BackendListHash;
use crate::messages::{CopyUpdates, PositionedCopy, PromptCopy};

/// Maximum number of reports that are kept for gateways that have not been sent them.
const MAX_REPORTS: usize = 4096;
/// Maximum number of copies in one answer, at about 7 bytes each.
const MAX_IN_ANSWER: usize = 256;
/// An older report is probably no longer true.
const REPORT_LIFETIME: Millis = Millis::from_secs(20);

#[derive(Debug)]
struct Report {
    received_at: Millis,
    by: GatewayId,
    prefix: PrefixId,
    backend: BackendId,
    /// Position of the back end in the configuration.
    position: Option<u16>,
    /// Set once the back end has restarted, which empties its KV cache.
    is_void: bool,
}

/// The latest reports, and a cursor for each gateway: how far it has received them.
///
/// Reports are numbered in the order of arrival, without gaps.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    reports: VecDeque<Report>,
    next_number: u64,
    cursors: BTreeMap<GatewayId, u64>,
    /// Number of the oldest report when stale cursors were removed last.
    cursors_pruned_at: u64,
    positions: Positions,
}

/// Positions of the back ends of a configuration.
#[derive(Debug, Default)]
struct Positions {
    index: u64,
    members: BackendListHash,
    by_id: BTreeMap<BackendId, u16>,
}

impl Positions {
    fn of(configuration: &Configuration) -> Self {
        let ids = configuration.backends.keys();
        let by_id = ids.cloned().zip(0..).collect();
        Positions {
            index: configuration.index,
            members: BackendListHash::of(configuration.backends.keys()),
            by_id,
        }
    }
}

impl Copies {
    /// Records the copies that a gateway reports.
    pub(crate) fn record(&mut self, by: &GatewayId, copies: Vec<PromptCopy>, now: Millis) {
        for copy in copies {
            self.reports.push_back(Report {
                received_at: now,
                by: by.clone(),
                prefix: copy.prefix,
                position: self.positions.by_id.get(&copy.backend).copied(),
                backend: copy.backend,
                is_void: false,
            });
            self.next_number += 1;
        }
        self.forget_old(now);
    }

    /// Forgets the copies of an engine that has restarted. Its reports keep their numbers
    /// but are not sent any more.
    pub(crate) fn on_restart(&mut self, engine: &BackendId) {
        let is_of_engine = |report: &&mut Report| report.backend == *engine;
        for report in self.reports.iter_mut().filter(is_of_engine) {
            report.is_void = true;
        }
    }

    /// Copies that peers of `gateway` reported since it was sent the last ones, oldest
    /// first.
    pub(crate) fn updates_for(
        &mut self,
        gateway: &GatewayId,
        configuration: &Configuration,
    ) -> CopyUpdates {
        self.update_positions(configuration);
        let first = self.first_number();
        let from = self.cursors.get(gateway).copied().unwrap_or(0).max(first);
        let mut cursor = from;
        let mut copies = Vec::new();
        for report in self.reports.iter().skip((from - first) as usize) {
            if copies.len() == MAX_IN_ANSWER {
                break;
            }
            cursor += 1;
            if let Some(place) = report
                .position
                .filter(|_| report.by != *gateway && !report.is_void)
            {
                let prefix = report.prefix;
                copies.push(PositionedCopy { prefix, place });
            }
        }
        self.cursors.insert(gateway.clone(), cursor);
        CopyUpdates {
            members: self.positions.members,
            copies,
        }
    }

    /// Recomputes the positions of all reports if the configuration has changed.
    fn update_positions(&mut self, configuration: &Configuration) {
        if self.positions.index == configuration.index {
            return;
        }
        self.positions = Positions::of(configuration);
        for report in &mut self.reports {
            report.position = self.positions.by_id.get(&report.backend).copied();
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Copies::default();
    }

    /// Number of the oldest report that is kept.
    fn first_number(&self) -> u64 {
        self.next_number - self.reports.len() as u64
    }

    fn forget_old(&mut self, now: Millis) {
        let is_old = |report: &Report| now.since(report.received_at) > REPORT_LIFETIME;
        while self.reports.len() > MAX_REPORTS || self.reports.front().is_some_and(is_old) {
            self.reports.pop_front();
        }
        // The cursor of a gateway that is gone is removed only after MAX_REPORTS further
        // reports: to check all cursors with each report would cost the square of the
        // number of gateways.
        let first = self.first_number();
        if first >= self.cursors_pruned_at + MAX_REPORTS as u64 {
            self.cursors_pruned_at = first;
            self.cursors.retain(|_, cursor| *cursor >= first);
        }
    }
}
