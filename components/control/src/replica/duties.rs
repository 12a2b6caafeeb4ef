//! The leader's duties towards the platform: usage that is told once.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{GatewayId, Millis, UsageWindow};

use crate::command::Command;
use crate::duties::{Duty, DutyAnswer, DutyCall, DutySettings, Predecessor};
use crate::effects::Effect;
use crate::usage::{UsageReceipt, UsageReport};

use super::Replica;

/// How often counts of gateways are put into the log: what a lost leader takes
/// with it where their gateways are lost as well.
const COUNT_INTERVAL: Millis = Millis(500);
/// A window is closed so long after its end: a gateway tells each quarter of a
/// second, and within this time finds a new leader where it lost the former.
const CLOSE_AFTER: Millis = Millis(3500);
/// A new leader listens for so long before it closes a window: gateways find it
/// and tell again what the former one had not logged.
const LISTEN: Millis = Millis(1500);
/// An unanswered call is repeated after this time, which doubles each time.
const SHORTEST_PAUSE: Millis = Millis(250);
const LONGEST_PAUSE: Millis = Millis(2000);

/// What the leader keeps of the duties. It can be lost at any time: what must
/// survive stands in the log.
#[derive(Debug, Default)]
pub(super) struct Desk {
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
    /// The present tenure's token must not be used any more.
    is_void: bool,
    /// The call under way, and since when.
    calling: Option<(UsageWindow, Millis)>,
    call_again_at: Millis,
    pause: Millis,
    /// Windows that the platform has taken; the log may not say so yet.
    taken: BTreeSet<UsageWindow>,
}

impl Desk {
    pub(super) fn at_start_of_term(now: Millis) -> Self {
        Desk {
            led_since: now,
            pause: SHORTEST_PAUSE,
            ..Desk::default()
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
            self.desk.inbox.insert(report.gateway.clone(), report);
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
        if let Some(window_length) = settings.usage_window {
            if self.now.since(self.desk.counted_at) >= COUNT_INTERVAL {
                self.log_usage();
            }
            self.close_usage(window_length);
        }
        if let Some(token) = self.token(&settings) {
            self.tell_usage(token, &settings);
        }
    }

    fn log_usage(&mut self) {
        self.desk.counted_at = self.now;
        let usage = &self.state.usage;
        let reports: Vec<UsageReport> = std::mem::take(&mut self.desk.inbox)
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
        if self.now.since(self.desk.led_since) < LISTEN {
            return;
        }
        let open = UsageWindow::at(self.time_of_day() - CLOSE_AFTER, window_length);
        let due = open.before(1);
        let closed = self.state.usage.closed_through().max(self.desk.closing);
        if closed.is_some_and(|closed| closed >= due) {
            return;
        }
        self.log_usage();
        if self.propose_own(Command::CloseUsage(due)).is_some() {
            self.desk.closing = Some(due);
        }
    }

    /// The token of this replica's tenure in the term that it leads.
    fn own_token(&self) -> Option<u64> {
        let tenure = self.state.tenures.present()?;
        let is_own = tenure.holder == self.node.id() && tenure.term == self.node.status().term;
        is_own.then_some(tenure.token)
    }

    /// The token to call with now. Begins a tenure where there is none.
    fn token(&mut self, settings: &DutySettings) -> Option<u64> {
        let own = self.node.id();
        let tenures = &self.state.tenures;
        let before = *self.desk.before.get_or_insert_with(|| tenures.before(own));
        if self.now.since(self.desk.led_since) < settings.wait_after(before) {
            return None;
        }
        if self.node.status().applied_index < self.desk.tenure_index {
            return None;
        }
        let token = self.own_token().filter(|_| !self.desk.is_void);
        if token.is_none()
            && let Some(index) = self.propose_own(Command::BeginTenure(own))
        {
            self.desk.tenure_index = index;
            self.desk.is_void = false;
        }
        token
    }

    /// Tells the oldest window that is closed and not told.
    fn tell_usage(&mut self, token: u64, settings: &DutySettings) {
        let lasts = settings.call_time + settings.call_time;
        let is_calling = |(_, since): (UsageWindow, Millis)| self.now.since(since) < lasts;
        if self.desk.calling.is_some_and(is_calling) || self.now < self.desk.call_again_at {
            return;
        }
        let taken = &self.desk.taken;
        let mut untold = self.state.usage.untold().iter();
        let Some((window, counts)) = untold.find(|(window, _)| !taken.contains(window)) else {
            return;
        };
        self.desk.calling = Some((*window, self.now));
        self.effects.push(Effect::CallPlatform(DutyCall {
            token,
            duty: Duty::Usage {
                window: *window,
                counts: counts.clone(),
            },
        }));
    }

    pub(super) fn handle_duty_answer(&mut self, call: &DutyCall, answer: DutyAnswer) {
        let Duty::Usage { window, .. } = call.duty;
        if self
            .desk
            .calling
            .is_some_and(|(called, _)| called == window)
        {
            self.desk.calling = None;
        }
        match answer {
            DutyAnswer::Done => {
                self.desk.pause = SHORTEST_PAUSE;
                let untold = self.state.usage.untold();
                self.desk.taken.retain(|taken| untold.contains_key(taken));
                self.desk.taken.insert(window);
                // Where this is lost, the next leader tells the same once more.
                self.propose_own(Command::UsageTold(window));
                return;
            }
            // Never again under this token.
            DutyAnswer::Refused => self.desk.is_void |= self.own_token() == Some(call.token),
            DutyAnswer::Throttled | DutyAnswer::Unknown => {}
        }
        self.desk.call_again_at = self.now + self.desk.pause;
        self.desk.pause = (self.desk.pause + self.desk.pause).min(LONGEST_PAUSE);
    }
}
