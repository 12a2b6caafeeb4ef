//! The leader's duties towards the platform: usage that is told once, and
//! engines that are bought and given back.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{GatewayId, Millis, ServiceId, UsageWindow};

use crate::command::Command;
use crate::duties::{Duty, DutyAnswer, DutyCall, DutySettings, Predecessor, Subject};
use crate::effects::Effect;
use crate::fleet_sizing::SizingStep;
use crate::usage::{UsageReceipt, UsageReport, usage_interval};

use super::Replica;

/// A window is closed so long after its end: a gateway tells several times a
/// second, and within this time finds a new leader where it lost the former.
const CLOSE_AFTER: Millis = Millis(3500);
/// A new leader listens for so long before it closes a window: gateways find it
/// and tell again what the former one had not logged. One that asked a replica
/// which is cut off turns elsewhere after 1.2 s, perhaps twice. A leader that is
/// lost just before it closes a window, and an election of a second, still leave
/// a second of the ten in which a window is due.
const LISTEN: Millis = Millis(3500);
/// An unanswered call is repeated after this time, which doubles each time.
const SHORTEST_PAUSE: Millis = Millis(250);
const LONGEST_PAUSE: Millis = Millis(2000);

/// What the leader keeps of the duties. It can be lost at any time: what must
/// survive stands in the log.
#[derive(Debug, Default)]
pub(super) struct DutyTrack {
    led_since: Millis,
    /// Reports that are not in the log, the newest of each gateway.
    inbox: BTreeMap<GatewayId, UsageReport>,
    counted_at: Millis,
    /// The last window whose closing was proposed.
    closing: Option<UsageWindow>,
    /// Who held the duties when this term began, once that is known.
    before: Option<Predecessor>,
    /// Log index of the tenure that was proposed last.
    tenure_index: u64,
    /// Calls by subject.
    tracks: BTreeMap<Subject, CallTrack>,
    /// Log index of what was noted last of the engines that are needed.
    needed_index: u64,
    /// Windows that the platform has taken; the log may not say so yet.
    taken: BTreeSet<UsageWindow>,
}

/// Calls about one subject: one at a time, with pauses after those that failed.
#[derive(Debug)]
struct CallTrack {
    /// Since when a call is under way.
    calling_since: Option<Millis>,
    again_at: Millis,
    pause: Millis,
    /// A token that must not be used any more.
    void_token: Option<u64>,
}

impl Default for CallTrack {
    fn default() -> Self {
        CallTrack {
            calling_since: None,
            again_at: Millis::ZERO,
            pause: SHORTEST_PAUSE,
            void_token: None,
        }
    }
}

impl CallTrack {
    fn is_free(&self, settings: &DutySettings, now: Millis) -> bool {
        // A call whose end nobody tells of is over by then.
        let lasts = settings.call_timeout + settings.call_timeout;
        let is_calling = |since: Millis| now.since(since) < lasts;
        !self.calling_since.is_some_and(is_calling) && now >= self.again_at
    }

    fn failed(&mut self, now: Millis) {
        self.again_at = now + self.pause;
        self.pause = (self.pause + self.pause).min(LONGEST_PAUSE);
    }
}

impl DutyTrack {
    /// Whether a call about a subject had the token and failed in a way that
    /// forbids it for that subject.
    fn is_void(&self, token: u64) -> bool {
        self.tracks
            .values()
            .any(|track| track.void_token == Some(token))
    }

    pub(super) fn at_start_of_term(now: Millis) -> Self {
        DutyTrack {
            led_since: now,
            ..DutyTrack::default()
        }
    }
}

impl Replica {
    /// Whether a call may leave at `now`: this replica holds the tenure of its
    /// token, leads its term and its lease stands.
    pub fn may_call(&self, call: &DutyCall, now: Millis) -> bool {
        self.own_token() == Some(call.token) && self.node.holds_lease(now)
    }

    /// Takes a gateway's report. It is answered with what stands in the log now:
    /// the gateway tells again what does not.
    pub(super) fn take_usage(&mut self, report: UsageReport) -> UsageReceipt {
        let logged = self.state.usage.logged(&report.gateway);
        if report.number > logged && !report.counts.is_empty() {
            self.duty_track.inbox.insert(report.gateway.clone(), report);
        }
        UsageReceipt {
            logged,
            closed_through: self.state.usage.closed_through(),
            time: self.time_of_day(),
        }
    }

    /// The time of day by which windows go.
    fn time_of_day(&self) -> Millis {
        let ahead = self.fleet_load.clocks_ahead_ms(self.now);
        Millis(self.now.0.saturating_add_signed(ahead))
    }

    pub(super) fn do_duties(&mut self) {
        let Some(settings) = self.settings.duties else {
            return;
        };
        if !self.node.has_applied_own_term() {
            return;
        }
        if !self.has_all_commands() {
            self.need_level();
            return;
        }
        if let Some(window_length) = settings.usage_window {
            let interval = usage_interval(self.gateways.count(self.now));
            if self.now.since(self.duty_track.counted_at) >= interval {
                self.log_usage();
            }
            self.close_usage(window_length);
        }
        if let Some(token) = self.token(&settings) {
            self.tell_usage(token, &settings);
            if settings.buys_engines {
                self.size_fleet(token, &settings);
            }
        }
    }

    fn log_usage(&mut self) {
        self.duty_track.counted_at = self.now;
        let usage = &self.state.usage;
        let reports: Vec<UsageReport> = std::mem::take(&mut self.duty_track.inbox)
            .into_values()
            .filter(|report| report.number > usage.logged(&report.gateway))
            .collect();
        if !reports.is_empty() {
            self.propose_own(Command::CountUsage(reports));
        }
    }

    /// Closes the windows that ended long enough ago. What was counted goes into
    /// the log before.
    fn close_usage(&mut self, window_length: Millis) {
        if self.now.since(self.duty_track.led_since) < LISTEN {
            return;
        }
        let open = UsageWindow::at(self.time_of_day() - CLOSE_AFTER, window_length);
        let due = open.before(1);
        let closed = self
            .state
            .usage
            .closed_through()
            .max(self.duty_track.closing);
        if closed.is_some_and(|closed| closed >= due) {
            return;
        }
        self.log_usage();
        if self.propose_own(Command::CloseUsage(due)).is_some() {
            self.duty_track.closing = Some(due);
        }
    }

    /// The token of this replica's tenure in the term that it leads.
    fn own_token(&self) -> Option<u64> {
        let tenure = self.state.tenures.current()?;
        let is_own = tenure.holder == self.node.id() && tenure.term == self.node.status().term;
        is_own.then_some(tenure.token)
    }

    /// The token to call with now. Begins a tenure where there is none.
    fn token(&mut self, settings: &DutySettings) -> Option<u64> {
        let own = self.node.id();
        let tenures = &self.state.tenures;
        let before = *self
            .duty_track
            .before
            .get_or_insert_with(|| tenures.predecessor_of(own));
        if self.now.since(self.duty_track.led_since) < settings.wait_after(before) {
            return None;
        }
        if self.node.status().applied_index < self.duty_track.tenure_index {
            return None;
        }
        let token = self
            .own_token()
            .filter(|token| !self.duty_track.is_void(*token));
        if token.is_none()
            && let Some(index) = self.propose_own(Command::BeginTenure(own))
        {
            self.duty_track.tenure_index = index;
        }
        token
    }

    /// Tells the oldest window that is closed and not told.
    fn tell_usage(&mut self, token: u64, settings: &DutySettings) {
        let taken = &self.duty_track.taken;
        let mut untold = self.state.usage.unreported().iter();
        let next = untold.find(|(window, _)| !taken.contains(window));
        if let Some((window, counts)) = next {
            let duty = Duty::Usage {
                window: *window,
                counts: counts.clone(),
            };
            self.call(token, duty, settings);
        }
    }

    /// Orders the engines that are wanted.
    fn size_fleet(&mut self, token: u64, settings: &DutySettings) {
        let Some(routes) = self.state.configuration.routes.clone() else {
            return;
        };
        let needed = &self.state.needed_engines;
        for step in self.sizing.steps(&routes, needed, self.now) {
            match step {
                SizingStep::NoteNeeded(service, engines) => self.note_needed(service, engines),
                SizingStep::Order(duty) => {
                    if self.call(token, duty.clone(), settings) {
                        self.sizing.on_order_sent(&duty, self.now);
                    }
                }
            }
        }
    }

    fn note_needed(&mut self, service: ServiceId, engines: u32) {
        if self.node.status().applied_index < self.duty_track.needed_index {
            return;
        }
        let command = Command::NoteNeeded { service, engines };
        if let Some(index) = self.propose_own(command) {
            self.duty_track.needed_index = index;
        }
    }

    /// Makes a call, unless one about the same subject is under way or failed a
    /// moment ago.
    fn call(&mut self, token: u64, duty: Duty, settings: &DutySettings) -> bool {
        let track = self.duty_track.tracks.entry(duty.subject()).or_default();
        if !track.is_free(settings, self.now) {
            return false;
        }
        track.calling_since = Some(self.now);
        self.effects
            .push(Effect::CallPlatform(DutyCall { token, duty }));
        true
    }

    pub(super) fn handle_duty_answer(&mut self, call: &DutyCall, answer: DutyAnswer) {
        let track = self
            .duty_track
            .tracks
            .entry(call.duty.subject())
            .or_default();
        track.calling_since = None;
        match answer {
            DutyAnswer::Done => track.pause = SHORTEST_PAUSE,
            DutyAnswer::Throttled => track.failed(self.now),
            DutyAnswer::Unknown if call.duty.may_arrive_late() => track.failed(self.now),
            // Never again under this token: it was refused, or what it ordered
            // could come after what is ordered next.
            DutyAnswer::Refused | DutyAnswer::Unknown => {
                track.void_token = Some(call.token);
                track.failed(self.now);
            }
        }
        match call.duty {
            Duty::Usage { window, .. } if answer == DutyAnswer::Done => self.note_told(window),
            Duty::Usage { .. } => {}
            Duty::Fleet { .. } => self.sizing.on_answer(&call.duty, answer, self.now),
        }
    }

    fn note_told(&mut self, window: UsageWindow) {
        let untold = self.state.usage.unreported();
        self.duty_track
            .taken
            .retain(|taken| untold.contains_key(taken));
        self.duty_track.taken.insert(window);
        // Where this is lost, the next leader tells the same once more.
        self.propose_own(Command::UsageTold(window));
    }
}
