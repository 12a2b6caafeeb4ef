//! One replica of the group: its state and entry points.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use garnet_types::{Millis, ReplicaId};
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::config::Config;
use crate::entry::{Entry, EntryPayload, HardState, Membership, Snapshot};
use crate::error::ProposeError;
use crate::log::ReplicatedLog;
use crate::membership::CAUGHT_UP_ENTRIES;
use crate::message::{Envelope, Message};
use crate::progress::Progress;
use crate::ready::Ready;

/// Role of a replica in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests pre-votes, to find out if it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the group: appends entries and replicates them.
    Leader,
}

/// Durable state of a replica, read from disk when it starts.
#[derive(Debug, Clone, Default)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Highest index known to be committed before the restart; 0 if unknown.
    /// Committed entries stay committed, so they are applied at once.
    pub commit_index: u64,
    /// The members before the first membership entry: set when a new group is
    /// started, empty for a replica that joins later.
    pub initial_membership: Membership,
}

/// The state of a node, for status pages and for the driver.
#[derive(Debug, Clone)]
pub struct Status {
    /// Role in the current term.
    pub role: PeerRole,
    /// The current term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Highest committed index.
    pub commit_index: u64,
    /// Highest index returned to the driver for applying.
    pub applied_index: u64,
    /// Highest index in the log.
    pub last_index: u64,
}

/// The consensus state machine of one replica.
#[derive(Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) role: PeerRole,
    pub(crate) hard_state: HardState,
    pub(crate) hard_state_changed: bool,
    pub(crate) log: ReplicatedLog,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) pending_snapshot: Option<Snapshot>,
    pub(crate) incoming_snapshot: Vec<u8>,
    pub(crate) incoming_snapshot_index: u64,
    pub(crate) initial_membership: Membership,
    pub(crate) membership: Membership,
    pub(crate) membership_index: u64,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) leader: Option<ReplicaId>,
    /// No vote is granted before this time, as a leader may hold a lease.
    pub(crate) no_vote_before: Millis,
    pub(crate) election_due: Millis,
    pub(crate) votes: BTreeSet<ReplicaId>,
    /// When votes were last requested.
    pub(crate) votes_requested_at: Millis,
    /// Whether the campaign was started by a leadership transfer.
    pub(crate) campaign_is_transfer: bool,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) leader_since: Millis,
    pub(crate) transfer_to: Option<ReplicaId>,
    pub(crate) transfer_due: Millis,
    /// Whether it never becomes leader, as its state machine can't apply the log.
    pub(crate) candidacy_disabled: bool,
    pub(crate) messages: Vec<Envelope>,
    pub(crate) now: Millis,
    random: Pcg64Mcg,
}

impl Node {
    /// Creates a replica from its durable state.
    pub fn new(config: Config, restored: Restored, now: Millis) -> Self {
        let (snapshot_index, snapshot_term) = restored
            .snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let log = ReplicatedLog::restored(snapshot_index, snapshot_term, restored.entries);
        let commit_index = restored.commit_index.min(log.last_index());
        let random = Pcg64Mcg::seed_from_u64(config.seed ^ config.id.0);
        let mut node = Node {
            role: PeerRole::Follower,
            hard_state: restored.hard_state,
            hard_state_changed: false,
            log,
            snapshot: restored.snapshot,
            pending_snapshot: None,
            incoming_snapshot: Vec::new(),
            incoming_snapshot_index: 0,
            initial_membership: restored.initial_membership,
            membership: Membership::default(),
            membership_index: 0,
            commit_index: commit_index.max(snapshot_index),
            applied_index: snapshot_index,
            leader: None,
            // The replica may have acknowledged a heartbeat just before it
            // stopped; the lease based on that acknowledgement must expire first.
            no_vote_before: now + config.lease_with_drift(),
            election_due: Millis::ZERO,
            votes: BTreeSet::new(),
            votes_requested_at: Millis::ZERO,
            campaign_is_transfer: false,
            progress: BTreeMap::new(),
            leader_since: Millis::ZERO,
            transfer_to: None,
            transfer_due: Millis::ZERO,
            candidacy_disabled: false,
            messages: Vec::new(),
            now,
            random,
            config,
        };
        node.refresh_membership();
        node.set_first_election_timer();
        node
    }

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.config.id
    }

    /// Whether this replica is the leader of its term. Another replica may
    /// already lead a later term: see [`Node::holds_lease`].
    pub fn is_leader(&self) -> bool {
        self.role == PeerRole::Leader
    }

    /// Last index that the latest snapshot covers.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// The members of the group according to this replica's log.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Log index of the entry that set [`Node::membership`].
    pub fn membership_index(&self) -> u64 {
        self.membership_index
    }

    /// The leader's progress records of its followers; empty on other replicas.
    pub fn followers(&self) -> &BTreeMap<ReplicaId, Progress> {
        &self.progress
    }

    /// The current state of the node.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader,
            commit_index: self.commit_index,
            applied_index: self.applied_index,
            last_index: self.log.last_index(),
        }
    }

    /// The end of the lease by this leader's clock: no other leader can exist
    /// before it.
    ///
    /// A majority acknowledged messages sent at or after this time minus the
    /// lease duration, and no replica of that majority grants a vote within the
    /// election timeout after it received one. `None` if this replica does not
    /// lead, is transferring leadership, or has not committed an entry of its
    /// term.
    pub fn lease_until(&self) -> Option<Millis> {
        let usable = self.is_leader() && self.transfer_to.is_none() && self.term_is_committed();
        if !usable {
            return None;
        }
        let mut sent: Vec<Millis> = self
            .membership
            .voters()
            .filter_map(|id| self.acknowledged_at(id))
            .collect();
        sent.sort_unstable_by(|left, right| right.cmp(left));
        let oldest_of_quorum = *sent.get(self.membership.quorum() - 1)?;
        Some(oldest_of_quorum + self.config.lease_duration)
    }

    /// Whether this replica is guaranteed to be the only leader at `now`.
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Whether an entry of this replica's term is applied, which means that the
    /// state machine reflects every entry committed before the term.
    pub fn has_applied_own_term(&self) -> bool {
        self.log.term_at(self.applied_index) == Some(self.hard_state.term)
    }

    /// Whether every entry of the log is known to be committed and was returned
    /// for applying.
    pub fn has_applied_whole_log(&self) -> bool {
        self.applied_index == self.log.last_index()
    }

    /// Time since this leader sent the latest message that the member
    /// acknowledged. Counted from the start of leadership, or from when the
    /// member was added, if that is later.
    pub fn silent_for(&self, id: ReplicaId) -> Millis {
        let last_acknowledged = self.acknowledged_at(id).unwrap_or(Millis::ZERO);
        let tracked = self.progress.get(&id).map_or(Millis::ZERO, |p| p.since);
        self.now
            .since(last_acknowledged.max(tracked).max(self.leader_since))
    }

    /// Bytes of the entries in memory.
    pub fn log_bytes(&self) -> usize {
        self.log
            .bytes_between(self.log.base_index() + 1, self.log.last_index() + 1)
    }

    /// Whether this leader is sending its snapshot to a member that responds. A newer
    /// snapshot would start that transfer anew.
    pub fn is_sending_snapshot(&self) -> bool {
        let mut receivers = self
            .progress
            .iter()
            .filter(|(_, progress)| progress.snapshot_offset.is_some());
        self.is_leader() && receivers.any(|(id, _)| self.responds(*id))
    }

    /// Whether a member is known to hold all of the log but the last few entries.
    pub fn is_caught_up(&self, id: ReplicaId) -> bool {
        let acknowledged_index = self.progress.get(&id).map_or(0, |p| p.match_index);
        acknowledged_index > 0 && acknowledged_index + CAUGHT_UP_ENTRIES >= self.log.last_index()
    }

    /// The commands in the log that were not yet returned for applying.
    pub fn unapplied_commands(&self) -> impl Iterator<Item = &[u8]> {
        let entries = self.log.slice(self.applied_index + 1, usize::MAX >> 1);
        entries.iter().filter_map(|entry| match &entry.payload {
            EntryPayload::Command(bytes) => Some(bytes.as_slice()),
            EntryPayload::Noop | EntryPayload::Membership(_) => None,
        })
    }

    /// Prevents this replica from leading from now on, as its state machine can't
    /// apply the log. It still stores the log and votes, so that the group keeps
    /// its majority.
    pub fn disable_candidacy(&mut self) {
        self.candidacy_disabled = true;
        if self.role != PeerRole::Follower {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Advances the clock. Must be called at least once per heartbeat interval.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        match self.role {
            PeerRole::Leader => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    /// Appends a command and returns its index. It is committed when it appears in
    /// [`Ready::committed`].
    ///
    /// # Errors
    /// When this replica does not lead or is transferring leadership.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<u64, ProposeError> {
        self.check_may_propose()?;
        Ok(self.append(EntryPayload::Command(command)))
    }

    /// Handles a message from a peer.
    pub fn step(&mut self, envelope: Envelope, now: Millis) {
        self.now = self.now.max(now);
        if envelope.to != self.config.id {
            return;
        }
        if !self.accept_term(&envelope) {
            return;
        }
        let from = envelope.from;
        match envelope.message {
            Message::RequestVote { .. } => self.handle_vote_request(&envelope),
            Message::VoteReply { pre_vote, granted } => {
                self.handle_vote_reply(from, envelope.term, pre_vote, granted)
            }
            Message::Append { .. } => self.handle_append(envelope),
            Message::AppendReply {
                match_index,
                accepted,
                sent_at,
            } => self.handle_append_reply(from, match_index, accepted, sent_at),
            Message::SnapshotChunk { .. } => self.handle_snapshot_chunk(envelope),
            Message::SnapshotReply {
                index,
                next_offset,
                sent_at,
            } => self.handle_snapshot_reply(from, index, next_offset, sent_at),
            Message::TimeoutNow => self.handle_timeout_now(from),
        }
    }

    /// Returns the pending work. Call [`Node::advance`] once its durable part is
    /// synced, before the next call of this function.
    pub fn ready(&mut self) -> Ready {
        let hard_state = self.hard_state_changed.then_some(self.hard_state);
        self.hard_state_changed = false;
        Ready {
            hard_state,
            snapshot: self.pending_snapshot.take(),
            entries: self.log.unpersisted().to_vec(),
            messages: std::mem::take(&mut self.messages),
            committed: self.take_committed(),
        }
    }

    /// Reports that the durable part of `ready` is synced.
    pub fn advance(&mut self, ready: &Ready) {
        let Some(last) = ready.entries.last() else {
            return;
        };
        self.log.mark_persisted(last.index, last.term);
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Makes the state machine's `data` at `index` the latest snapshot and drops
    /// the log up to it from memory, except for entries that a follower needs. The driver must
    /// make the returned snapshot durable before it deletes any log from disk. `None` if `index` is not yet
    /// applied or a snapshot already covers it.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Option<Snapshot> {
        if index > self.applied_index || index <= self.snapshot_index() {
            return None;
        }
        let term = self.log.term_at(index)?;
        let membership = self.membership_at(index);
        let snapshot = Snapshot {
            index,
            term,
            membership,
            data: Arc::new(data),
        };
        self.log.compact(self.droppable_index(index));
        self.snapshot = Some(snapshot.clone());
        Some(snapshot)
    }

    /// The index up to which the log is dropped when a snapshot covers it up to `index`. A
    /// follower that responds is sent the entries that it lacks; it would be sent the whole
    /// snapshot otherwise.
    fn droppable_index(&self, index: u64) -> u64 {
        if !self.is_leader() {
            return index;
        }
        let is_behind = |(id, progress): &(&ReplicaId, &Progress)| {
            progress.match_index > 0 && self.responds(**id)
        };
        let behind = self.progress.iter().filter(is_behind);
        let needed_after = behind.map(|(_, progress)| progress.match_index).min();
        let from = needed_after.map_or(index, |needed_after| needed_after.min(index));
        self.log
            .index_before(from, index, self.config.max_retained_bytes)
    }

    /// Whether a member has responded to this leader within two election timeouts.
    fn responds(&self, id: ReplicaId) -> bool {
        let timeout = self.config.election_timeout;
        self.silent_for(id) < timeout + timeout
    }

    /// Whether [`Node::ready`] would return any work.
    pub fn has_ready(&self) -> bool {
        self.hard_state_changed
            || self.pending_snapshot.is_some()
            || !self.messages.is_empty()
            || !self.log.unpersisted().is_empty()
            || self.applied_index < self.appliable_index()
    }

    pub(crate) fn check_may_propose(&self) -> Result<(), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader(self.leader));
        }
        if self.transfer_to.is_some() {
            return Err(ProposeError::Transferring);
        }
        Ok(())
    }

    pub(crate) fn append(&mut self, payload: EntryPayload) -> u64 {
        let index = self.log.last_index() + 1;
        let changes_membership = matches!(payload, EntryPayload::Membership(_));
        self.log.push(Entry {
            index,
            term: self.hard_state.term,
            payload,
        });
        if changes_membership {
            self.refresh_membership();
        }
        self.broadcast_append();
        index
    }

    pub(crate) fn term_is_committed(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }

    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        self.send_in_term(to, self.hard_state.term, message);
    }

    pub(crate) fn send_in_term(&mut self, to: ReplicaId, term: u64, message: Message) {
        self.messages.push(Envelope {
            from: self.config.id,
            to,
            term,
            message,
        });
    }

    /// A replica that has just started has received nothing from a leader, so it
    /// waits only until it may grant votes, not for a whole election timeout.
    fn set_first_election_timer(&mut self) {
        let spread = self.config.election_timeout.0 / 2;
        let jitter = Millis(self.random.random_range(0..spread.max(1)));
        self.election_due = self.no_vote_before + jitter;
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let base = self.config.election_timeout;
        let jitter = Millis(self.random.random_range(0..base.0));
        self.election_due = self.now + base + jitter;
    }

    /// Sets the membership to the latest one in the log, committed or not.
    pub(crate) fn refresh_membership(&mut self) {
        let (index, membership) = match self.log.latest_membership() {
            Some((index, membership)) => (index, membership.clone()),
            None => (self.log.base_index(), self.snapshot_membership()),
        };
        self.membership = membership;
        self.membership_index = index;
    }

    fn snapshot_membership(&self) -> Membership {
        self.snapshot
            .as_ref()
            .map_or_else(|| self.initial_membership.clone(), |s| s.membership.clone())
    }

    fn membership_at(&self, index: u64) -> Membership {
        let first = self.log.base_index() + 1;
        let covered = self.log.slice(first, (index + 1 - first) as usize);
        covered
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                EntryPayload::Membership(membership) => Some(membership.clone()),
                _ => None,
            })
            .unwrap_or_else(|| self.snapshot_membership())
    }

    fn appliable_index(&self) -> u64 {
        self.commit_index.min(self.log.persisted_index())
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let until = self.appliable_index();
        if until <= self.applied_index {
            return Vec::new();
        }
        let count = (until - self.applied_index) as usize;
        let entries = self.log.slice(self.applied_index + 1, count).to_vec();
        self.applied_index = until;
        entries
    }
}
