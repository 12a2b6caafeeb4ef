//! Heartbeats, log replication, commitment and snapshot transfer.

use std::sync::Arc;

use garnet_types::{Millis, ReplicaId};

use crate::entry::{Entry, EntryPayload, Snapshot};
use crate::message::{Envelope, Message};
use crate::node::Node;
use crate::progress::Progress;

impl Node {
    pub(crate) fn tick_leader(&mut self) {
        if self.transfer_to.is_some() && self.now >= self.transfer_due {
            self.transfer_to = None;
        }
        if !self.quorum_is_reachable() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        let due: Vec<ReplicaId> = self
            .progress
            .iter()
            .filter(|(_, progress)| {
                self.now.since(progress.last_sent) >= self.config.heartbeat_interval
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.send_heartbeat(id);
        }
    }

    /// Check-quorum: a leader steps down when it can't reach a majority.
    fn quorum_is_reachable(&self) -> bool {
        let timeout = self.config.election_timeout;
        let fresh = |id| {
            let last_acknowledged = self.acknowledged_at(id).unwrap_or(self.leader_since);
            self.now.since(last_acknowledged.max(self.leader_since)) < timeout + timeout
        };
        self.membership.has_quorum(fresh)
    }

    pub(crate) fn broadcast_append(&mut self) {
        let followers: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for id in followers {
            self.send_entries(id);
        }
    }

    /// Sends a heartbeat. It carries entries, including lost ones, unless other
    /// messages with entries are in flight.
    fn send_heartbeat(&mut self, to: ReplicaId) {
        let silence = self.config.election_timeout;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        if progress.has_lost_entries(silence, self.now) {
            let next_index = match progress.match_index {
                0 => progress.next_index,
                matched => matched + 1,
            };
            progress.rewind_to(next_index, self.now);
        }
        if progress.inflight == 0 {
            self.send_append(to, true);
            return;
        }
        let previous_index = match progress.match_index {
            0 => progress.next_index - 1,
            matched => matched,
        };
        progress.last_sent = self.now;
        match self.log.term_at(previous_index) {
            Some(previous_term) => {
                let message = Message::Append {
                    previous_index,
                    previous_term,
                    entries: Vec::new(),
                    commit_index: self.commit_index,
                    sent_at: self.now,
                };
                self.send(to, message);
            }
            None => self.send_snapshot_chunk(to, true),
        }
    }

    fn send_entries(&mut self, to: ReplicaId) {
        self.send_append(to, false);
    }

    fn send_append(&mut self, to: ReplicaId, even_if_empty: bool) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        if self.has_full_window(progress) {
            return;
        }
        let next_index = progress.next_index;
        let previous_index = next_index - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            self.send_snapshot_chunk(to, even_if_empty);
            return;
        };
        let entries = self
            .log
            .batch(
                next_index,
                self.config.max_batch_entries,
                self.config.max_batch_bytes,
            )
            .to_vec();
        if entries.is_empty() && !even_if_empty {
            return;
        }
        let sent = entries.len() as u64;
        let message = Message::Append {
            previous_index,
            previous_term,
            entries,
            commit_index: self.commit_index,
            sent_at: self.now,
        };
        self.send(to, message);
        let now = self.now;
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.next_index += sent;
            progress.inflight += usize::from(sent > 0);
            progress.last_sent = now;
            if sent > 0 {
                progress.entries_sent_at = now;
            }
            progress.snapshot_offset = None;
        }
    }

    /// Whether no more entries may be sent to a follower before it acknowledges some.
    fn has_full_window(&self, progress: &Progress) -> bool {
        if progress.inflight == 0 {
            return false;
        }
        let bytes = self
            .log
            .bytes_between(progress.match_index + 1, progress.next_index);
        progress.inflight >= self.config.max_inflight || bytes >= self.config.max_inflight_bytes
    }

    /// Sends the first chunk of the snapshot, or the last one again if it is lost. While it
    /// is under way, a heartbeat is sent at most, if `resend` is set.
    fn send_snapshot_chunk(&mut self, to: ReplicaId, resend: bool) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let silence = self.config.election_timeout;
        let is_under_way = progress.snapshot_offset.is_some()
            && self.now.since(progress.snapshot_sent_at) < silence;
        if is_under_way {
            if resend && self.now.since(progress.last_sent) >= self.config.heartbeat_interval {
                self.send_snapshot_heartbeat(to, &snapshot);
            }
            return;
        }
        self.send_chunk(to, &snapshot);
    }

    /// Sends a chunk without bytes, at the end of the snapshot: the follower answers with
    /// the offset that it has received, and changes nothing.
    fn send_snapshot_heartbeat(&mut self, to: ReplicaId, snapshot: &Snapshot) {
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.last_sent = self.now;
        }
        let message = Message::SnapshotChunk {
            index: snapshot.index,
            snapshot_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: snapshot.data.len() as u64,
            data: Vec::new(),
            done: false,
            sent_at: self.now,
        };
        self.send(to, message);
    }

    /// Sends the chunk at the offset that the follower has received.
    fn send_chunk(&mut self, to: ReplicaId, snapshot: &Snapshot) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let offset = progress.snapshot_offset.unwrap_or(0);
        progress.snapshot_offset = Some(offset);
        progress.snapshot_sent_at = self.now;
        progress.last_sent = self.now;
        let start = (offset as usize).min(snapshot.data.len());
        let end = (start + self.config.snapshot_chunk_bytes).min(snapshot.data.len());
        let message = Message::SnapshotChunk {
            index: snapshot.index,
            snapshot_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: start as u64,
            data: snapshot.data[start..end].to_vec(),
            done: end == snapshot.data.len(),
            sent_at: self.now,
        };
        self.send(to, message);
    }

    fn on_leader_contact(&mut self, leader: ReplicaId) {
        if self.leader != Some(leader) {
            self.become_follower(self.hard_state.term, Some(leader));
        }
        self.no_vote_before = self.now + self.config.election_timeout;
        self.reset_election_timer();
    }

    pub(crate) fn handle_append(&mut self, envelope: Envelope) {
        let Message::Append {
            previous_index,
            previous_term,
            entries,
            commit_index,
            sent_at,
        } = envelope.message
        else {
            return;
        };
        self.on_leader_contact(envelope.from);
        let previous_matches = previous_index < self.log.base_index()
            || self.log.term_at(previous_index) == Some(previous_term);
        let match_index = if previous_matches {
            self.accept_entries(previous_index, entries, commit_index)
        } else {
            self.resume_index(previous_index)
        };
        let reply = Message::AppendReply {
            match_index,
            accepted: previous_matches,
            sent_at,
        };
        self.send(envelope.from, reply);
    }

    /// The index after which the leader continues when the previous entry does
    /// not match: the last index if this log is too short, otherwise the commit
    /// index, up to which the log matches every leader's.
    fn resume_index(&self, previous_index: u64) -> u64 {
        let last = self.log.last_index();
        if last < previous_index {
            last
        } else {
            self.commit_index
        }
    }

    fn accept_entries(&mut self, previous: u64, entries: Vec<Entry>, commit: u64) -> u64 {
        let match_index = previous + entries.len() as u64;
        for entry in entries {
            self.accept_entry(entry);
        }
        // Only entries known to match the leader's log may be committed.
        self.commit_index = self.commit_index.max(commit.min(match_index));
        match_index
    }

    fn accept_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                // Invariant: a committed entry is never replaced.
                debug_assert!(entry.index > self.commit_index);
                self.log.truncate_from(entry.index);
                self.refresh_membership();
            }
            None => {}
        }
        let changes_membership = matches!(entry.payload, EntryPayload::Membership(_));
        self.log.push(entry);
        if changes_membership {
            self.refresh_membership();
        }
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        from: ReplicaId,
        match_index: u64,
        accepted: bool,
        sent_at: Millis,
    ) {
        if !self.is_leader() {
            return;
        }
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acknowledged_at = progress.acknowledged_at.max(Some(sent_at));
        progress.inflight = progress.inflight.saturating_sub(1);
        if accepted {
            progress.match_index = progress.match_index.max(match_index.min(last_index));
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else {
            // A follower never loses durable entries under the same identity, so
            // `match_index` never decreases.
            if sent_at < progress.rewound_at {
                return;
            }
            let next_index = (match_index + 1).max(progress.match_index + 1);
            progress.rewind_to(next_index, self.now);
        }
        let behind = progress.next_index <= last_index;
        self.advance_commit();
        if behind || !accepted {
            self.send_append(from, !accepted);
        }
    }

    /// Commits entries that are durable on a majority, if they are of the current term.
    pub(crate) fn advance_commit(&mut self) {
        let mut durable: Vec<u64> = self
            .membership
            .voters()
            .map(|id| self.durable_index(id))
            .collect();
        durable.sort_unstable_by(|left, right| right.cmp(left));
        let Some(candidate) = durable.get(self.membership.quorum() - 1).copied() else {
            return;
        };
        let own_term = self.log.term_at(candidate) == Some(self.hard_state.term);
        if candidate > self.commit_index && own_term {
            self.commit_index = candidate;
            self.after_commit();
        }
    }

    fn after_commit(&mut self) {
        self.step_down_if_removed();
        if self.is_leader() {
            // Sends the commit index at once instead of with the next heartbeat.
            let followers: Vec<ReplicaId> = self.progress.keys().copied().collect();
            for id in followers {
                self.send_append(id, true);
            }
        }
    }

    fn durable_index(&self, id: ReplicaId) -> u64 {
        if id == self.config.id {
            return self.log.persisted_index();
        }
        self.progress
            .get(&id)
            .map_or(0, |progress| progress.match_index)
    }

    pub(crate) fn handle_snapshot_chunk(&mut self, envelope: Envelope) {
        let Message::SnapshotChunk {
            index,
            snapshot_term,
            membership,
            offset,
            data,
            done,
            sent_at,
        } = envelope.message
        else {
            return;
        };
        self.on_leader_contact(envelope.from);
        if self.log.term_at(index) == Some(snapshot_term) {
            // Equal terms at an index mean equal logs up to it. Later entries may
            // have been acknowledged and must be kept.
            self.commit_index = self.commit_index.max(index);
        }
        if index <= self.commit_index {
            // The log already holds everything that the snapshot covers.
            let reply = Message::AppendReply {
                match_index: self.commit_index,
                accepted: true,
                sent_at,
            };
            self.send(envelope.from, reply);
            return;
        }
        if index != self.incoming_snapshot_index || offset == 0 {
            self.incoming_snapshot_index = index;
            self.incoming_snapshot.clear();
        }
        let in_order = offset == self.incoming_snapshot.len() as u64;
        if in_order {
            self.incoming_snapshot.extend_from_slice(&data);
        }
        if in_order && done {
            let data = std::mem::take(&mut self.incoming_snapshot);
            self.incoming_snapshot_index = 0;
            self.install(Snapshot {
                index,
                term: snapshot_term,
                membership,
                data: Arc::new(data),
            });
            let reply = Message::AppendReply {
                match_index: index,
                accepted: true,
                sent_at,
            };
            self.send(envelope.from, reply);
            return;
        }
        let reply = Message::SnapshotReply {
            index,
            next_offset: self.incoming_snapshot.len() as u64,
            sent_at,
        };
        self.send(envelope.from, reply);
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.log.reset(snapshot.index, snapshot.term);
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.snapshot = Some(snapshot.clone());
        self.pending_snapshot = Some(snapshot);
        self.refresh_membership();
    }

    pub(crate) fn handle_snapshot_reply(
        &mut self,
        from: ReplicaId,
        index: u64,
        next_offset: u64,
        sent_at: Millis,
    ) {
        if !self.is_leader() {
            return;
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acknowledged_at = progress.acknowledged_at.max(Some(sent_at));
        let Some(sent_offset) = progress.snapshot_offset else {
            return;
        };
        let offset = if index == snapshot.index {
            next_offset
        } else {
            0
        };
        // The follower answered before the latest chunk could arrive. Only a later answer
        // shows that the chunk is lost.
        if offset == sent_offset && sent_at <= progress.snapshot_sent_at {
            return;
        }
        progress.snapshot_offset = Some(offset);
        self.send_chunk(from, &snapshot);
    }
}
