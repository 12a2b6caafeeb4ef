//! Recent changes, from which gateways are brought up to date.

use std::collections::{BTreeMap, VecDeque};

use garnet_types::{BackendId, GatewayId, Millis};

use crate::configuration::{Configuration, ConfigurationChange};
use crate::configuration_transfer::{BACKENDS_IN_PART, ConfigurationPart, PartRequest, Parts};
use crate::messages::WatchUpdate;
use crate::shared::Shared;

/// Changes that are kept at least; more of them are kept where there are more back
/// ends. A gateway farther behind gets everything anew, which costs less by then.
const KEPT_CHANGES: usize = 4096;
/// A whole configuration is handed out as it was until so many changes have come:
/// they reach a gateway after it, in one message of some 30 KB. While the log moves
/// on with each moment of a start, hundreds of gateways take the same bytes.
const MOST_CHANGES_ON_TOP: usize = 1024;

/// What was sent to a gateway and has not shown in its questions for so long is
/// taken as lost: two questions, ...
const LOST_AFTER: Millis = Millis(500);
/// ... and what each change takes on a link of 100 KB a second.
const LOST_AFTER_EACH_CHANGE: Millis = Millis(2);

/// What was sent to gateways last, so that an update that is under way is not
/// sent again with each question.
#[derive(Debug, Default)]
pub(crate) struct SentUpdates {
    sent: BTreeMap<GatewayId, Sent>,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    /// Updates of one connection arrive in their order.
    connection: u64,
    /// Index that the gateway works by once all has arrived.
    index: u64,
    /// When it is taken as lost.
    lost_at: Millis,
}

impl SentUpdates {
    /// The index that the next update for a gateway builds on, which asks with
    /// `asked`.
    fn base(&self, gateway: &GatewayId, connection: u64, asked: u64, now: Millis) -> u64 {
        let under_way = |sent: &&Sent| {
            sent.connection == connection && sent.index > asked && now < sent.lost_at
        };
        let sent = self.sent.get(gateway).filter(under_way);
        sent.map_or(asked, |sent| sent.index)
    }

    /// The update for a gateway that asks on a connection with the index that it
    /// works by.
    pub(crate) fn update_for(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
        asked: u64,
        now: Millis,
        recent: &mut RecentChanges,
        configuration: &Configuration,
    ) -> WatchUpdate {
        let base = self.base(gateway, connection, asked, now);
        let update = recent.update_for(base, configuration);
        match update {
            WatchUpdate::Current if base > asked => return WatchUpdate::UnderWay,
            // The gateway knows which part it has asked for.
            WatchUpdate::Current | WatchUpdate::Parts { .. } => return update,
            _ => {}
        }
        let sent = Sent {
            connection,
            index: configuration.index,
            lost_at: now + LOST_AFTER + Millis(LOST_AFTER_EACH_CHANGE.0 * update.changes()),
        };
        self.sent.insert(gateway.clone(), sent);
        update
    }

    /// Forgets what has arrived or is lost.
    pub(crate) fn forget(&mut self, now: Millis) {
        self.sent.retain(|_, sent| now < sent.lost_at);
    }
}

/// The latest changes of the configuration.
#[derive(Debug, Clone, Default)]
pub struct RecentChanges {
    changes: VecDeque<(u64, ConfigurationChange)>,
    /// Every change after this index is kept.
    complete_after: u64,
    /// The newest configuration that was handed out whole: many gateways ask
    /// for it at once when they all start.
    whole: Option<Shared<Configuration>>,
    /// One that was handed out in parts.
    parts: Option<Parts>,
    /// Changes since an index, as they were handed out since the last change:
    /// most gateways stand at the same index.
    handed_out: BTreeMap<u64, Shared<Vec<(u64, ConfigurationChange)>>>,
}

impl RecentChanges {
    /// Nothing is known of changes up to `index`.
    pub fn starting_at(index: u64) -> Self {
        RecentChanges {
            changes: VecDeque::new(),
            complete_after: index,
            whole: None,
            parts: None,
            handed_out: BTreeMap::new(),
        }
    }

    /// Notes a change of a configuration with so many back ends.
    pub fn push(&mut self, index: u64, change: ConfigurationChange, backends: usize) {
        self.handed_out.clear();
        self.changes.push_back((index, change));
        while self.changes.len() > KEPT_CHANGES.max(backends) {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.complete_after = dropped;
            }
        }
    }

    /// What brings a gateway that works by `from` up to date.
    pub fn update_for(&mut self, from: u64, configuration: &Configuration) -> WatchUpdate {
        if from == configuration.index {
            return WatchUpdate::Current;
        }
        let unknown = from < self.complete_after || from > configuration.index;
        if unknown || from == 0 {
            return self.full_update(configuration);
        }
        WatchUpdate::Changes {
            from,
            to: configuration.index,
            changes: self.since(from),
        }
    }
}

impl RecentChanges {
    /// The update for a gateway that takes no parts.
    pub(crate) fn update_in_one(
        &mut self,
        from: u64,
        configuration: &Configuration,
    ) -> WatchUpdate {
        match self.update_for(from, configuration) {
            WatchUpdate::Parts { .. } => {
                WatchUpdate::Snapshot(self.full_configuration(configuration))
            }
            update => update,
        }
    }

    fn full_update(&mut self, configuration: &Configuration) -> WatchUpdate {
        if configuration.backends.len() <= BACKENDS_IN_PART {
            return WatchUpdate::Snapshot(self.full_configuration(configuration));
        }
        let index = self.parts(configuration).index();
        WatchUpdate::Parts { index }
    }

    /// A part of the configuration that is handed out in parts now.
    pub(crate) fn part(&self, place: PartRequest) -> Option<ConfigurationPart> {
        self.parts.as_ref()?.part(place)
    }

    fn parts(&mut self, configuration: &Configuration) -> &Parts {
        let held = self.parts.take();
        let parts = held.filter(|parts| self.is_near(parts.index()));
        self.parts
            .insert(parts.unwrap_or_else(|| Parts::of(configuration)))
    }

    /// Whether few changes lead from this index to the present.
    fn is_near(&self, index: u64) -> bool {
        let newer = self.changes.iter().rev().map(|(at, _)| *at);
        let on_top = newer.take_while(|at| *at > index);
        index >= self.complete_after
            && on_top.take(MOST_CHANGES_ON_TOP + 1).count() <= MOST_CHANGES_ON_TOP
    }

    fn since(&mut self, from: u64) -> Shared<Vec<(u64, ConfigurationChange)>> {
        if let Some(changes) = self.handed_out.get(&from) {
            return changes.clone();
        }
        let newer = self.changes.iter().filter(|(index, _)| *index > from);
        let changes = Shared::from(without_replaced(newer));
        self.handed_out.insert(from, changes.clone());
        changes
    }

    /// The configuration as a whole.
    pub fn full_configuration(&mut self, configuration: &Configuration) -> Shared<Configuration> {
        let same = |whole: &&Shared<Configuration>| whole.index == configuration.index;
        if let Some(whole) = self.whole.as_ref().filter(same) {
            return whole.clone();
        }
        let whole = Shared::from(configuration.clone());
        self.whole = Some(whole.clone());
        whole
    }
}

/// What a change replaces as a whole.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Replaced<'a> {
    Routes,
    Backend(&'a BackendId),
}

fn replaced(change: &ConfigurationChange) -> Option<Replaced<'_>> {
    match change {
        ConfigurationChange::RoutesPut(_) => Some(Replaced::Routes),
        ConfigurationChange::BackendPut(record) => Some(Replaced::Backend(&record.registration.id)),
        ConfigurationChange::BackendRemoved(id) => Some(Replaced::Backend(id)),
        _ => None,
    }
}

/// The changes, of those to the route table and to one back end only the
/// newest: each one replaces the former as a whole.
fn without_replaced<'a>(
    changes: impl Iterator<Item = &'a (u64, ConfigurationChange)> + Clone,
) -> Vec<(u64, ConfigurationChange)> {
    let mut newest = BTreeMap::new();
    for (place, (_, change)) in changes.clone().enumerate() {
        if let Some(replaced) = replaced(change) {
            newest.insert(replaced, place);
        }
    }
    let is_newest = |(place, (_, change)): &(usize, &(u64, ConfigurationChange))| {
        replaced(change).is_none_or(|replaced| newest.get(&replaced) == Some(place))
    };
    changes
        .enumerate()
        .filter(is_newest)
        .map(|(_, change)| change.clone())
        .collect()
}
