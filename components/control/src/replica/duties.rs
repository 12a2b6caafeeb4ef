//! The leader's duties towards the platform: reporting usage exactly once, and buying and
//! returning engines.

use std::collections::{BTreeMap, BTreeSet};

use garnet_types::{GatewayId, Millis, ServiceId, UsageWindow};

use crate::command::Command;
use crate::duties::{Duty, DutyAnswer, DutyCall, DutySettings, Predecessor, Subject};
use crate::effects::Effect;
use crate::fleet_sizing::SizingStep;
use crate::usage::{UsageReceipt, UsageReport, usage_interval};

use super::Replica;

/// Delay from the end of a usage window to its closing. Gateways report several times a
/// second, and within this time find a new leader when the previous one is lost.
const WINDOW_CLOSE_DELAY: Millis = Millis(3500);
/// Time that a new leader collects reports before it closes a window: gateways need it to
/// find the leader and to repeat what its predecessor had not logged. A gateway that asked
/// an isolated replica tries the next one after 1.2 s, perhaps twice. If a leader is lost
/// just before it closes a window and the election takes a second, one of the ten seconds
/// in which a window is due still remains.
const NEW_LEADER_CLOSE_DELAY: Millis = Millis(3500);
/// First pause before a failed call is repeated; it doubles with each failure, up to
/// [`MAX_RETRY_PAUSE`].
const MIN_RETRY_PAUSE: Millis = Millis(250);
const MAX_RETRY_PAUSE: Millis = Millis(2000);

/// The leader's volatile state of its duties. It can be lost at any time: everything that
/// must survive is in the log.
#[derive(Debug, Default)]
pub(super) struct DutyState {
    led_since: Millis,
    /// Reports that are not in the log yet, the newest of each gateway.
    unlogged_reports: BTreeMap<GatewayId, UsageReport>,
    usage_logged_at: Millis,
    /// The last window whose closing was proposed.
    proposed_close: Option<UsageWindow>,
    /// The holder of the duties when this term began, once it is known.
    predecessor: Option<Predecessor>,
    /// Log index of the last proposed tenure.
    tenure_index: u64,
    /// State of the calls by subject.
    call_states: BTreeMap<Subject, CallState>,
    /// Log index of the last proposed count of needed engines.
    needed_index: u64,
    /// Windows that the platform has accepted, which the log may not show yet.
    delivered: BTreeSet<UsageWindow>,
}

/// Calls about one subject: one at a time, with a pause after each failure.
#[derive(Debug)]
struct CallState {
    /// When the call in flight was made, if there is one.
    in_flight_since: Option<Millis>,
    retry_at: Millis,
    retry_pause: Millis,
    /// A token that must not be used again.
    voided_token: Option<u64>,
}

impl Default for CallState {
    fn default() -> Self {
        CallState {
            in_flight_since: None,
            retry_at: Millis::ZERO,
            retry_pause: MIN_RETRY_PAUSE,
            voided_token: None,
        }
    }
}

impl CallState {
    fn may_start(&self, settings: &DutySettings, now: Millis) -> bool {
        // A call whose end is never reported counts as ended after this time.
        let in_flight_timeout = settings.call_timeout + settings.call_timeout;
        let is_in_flight = |since: Millis| now.since(since) < in_flight_timeout;
        !self.in_flight_since.is_some_and(is_in_flight) && now >= self.retry_at
    }

    fn delay_retry(&mut self, now: Millis) {
        self.retry_at = now + self.retry_pause;
        self.retry_pause = (self.retry_pause + self.retry_pause).min(MAX_RETRY_PAUSE);
    }
}

impl DutyState {
    /// Whether a call with this token failed in a way that forbids the token for its
    /// subject.
    fn is_voided(&self, token: u64) -> bool {
        self.call_states
            .values()
            .any(|call_state| call_state.voided_token == Some(token))
    }

    pub(super) fn at_start_of_term(now: Millis) -> Self {
        DutyState {
            led_since: now,
            ..DutyState::default()
        }
    }
}

impl Replica {
    /// Whether a call may be sent at `now`: this replica holds the tenure of its token,
    /// leads in that term and holds the lease.
    pub fn may_call(&self, call: &DutyCall, now: Millis) -> bool {
        self.own_token() == Some(call.token) && self.node.holds_lease(now)
    }

    /// Stores a gateway's report. The receipt shows what the log holds now; the gateway
    /// repeats the rest.
    pub(super) fn handle_usage_report(&mut self, report: UsageReport) -> UsageReceipt {
        let logged = self.state.usage.logged(&report.gateway);
        if report.number > logged && !report.counts.is_empty() {
            self.duty_state
                .unlogged_reports
                .insert(report.gateway.clone(), report);
        }
        UsageReceipt {
            logged,
            closed_through: self.state.usage.closed_through(),
            time: self.time_of_day(),
        }
    }

    /// The time of day that usage windows follow: this replica's clock, corrected by the
    /// gateways' offsets.
    fn time_of_day(&self) -> Millis {
        let ahead = self.fleet_load.clocks_ahead_ms(self.now);
        Millis(self.now.0.saturating_add_signed(ahead))
    }

    pub(super) fn perform_duties(&mut self) {
        let Some(settings) = self.settings.duties else {
            return;
        };
        if !self.node.has_applied_own_term() {
            return;
        }
        if !self.has_all_commands() {
            self.request_level();
            return;
        }
        if let Some(window_length) = settings.usage_window {
            let interval = usage_interval(self.gateways.count(self.now));
            if self.now.since(self.duty_state.usage_logged_at) >= interval {
                self.log_usage();
            }
            self.close_usage(window_length);
        }
        if let Some(token) = self.token(&settings) {
            self.report_usage(token, &settings);
            if settings.buys_engines {
                self.size_fleet(token, &settings);
            }
        }
    }

    fn log_usage(&mut self) {
        self.duty_state.usage_logged_at = self.now;
        let usage = &self.state.usage;
        let reports: Vec<UsageReport> = std::mem::take(&mut self.duty_state.unlogged_reports)
            .into_values()
            .filter(|report| report.number > usage.logged(&report.gateway))
            .collect();
        if !reports.is_empty() {
            self.propose_own(Command::CountUsage(reports));
        }
    }

    /// Closes the windows whose closing is due. All reports received so far are logged
    /// first.
    fn close_usage(&mut self, window_length: Millis) {
        if self.now.since(self.duty_state.led_since) < NEW_LEADER_CLOSE_DELAY {
            return;
        }
        let open = UsageWindow::at(self.time_of_day() - WINDOW_CLOSE_DELAY, window_length);
        let due = open.before(1);
        let closed = self
            .state
            .usage
            .closed_through()
            .max(self.duty_state.proposed_close);
        if closed.is_some_and(|closed| closed >= due) {
            return;
        }
        self.log_usage();
        if self.propose_own(Command::CloseUsage(due)).is_some() {
            self.duty_state.proposed_close = Some(due);
        }
    }

    /// The token of this replica's tenure, if it was begun in the term that the replica
    /// leads.
    fn own_token(&self) -> Option<u64> {
        let tenure = self.state.tenures.current()?;
        let is_own = tenure.holder == self.node.id() && tenure.term == self.node.status().term;
        is_own.then_some(tenure.token)
    }

    /// The token for calls that start now. Proposes a tenure if there is none.
    fn token(&mut self, settings: &DutySettings) -> Option<u64> {
        let own = self.node.id();
        let tenures = &self.state.tenures;
        let predecessor = *self
            .duty_state
            .predecessor
            .get_or_insert_with(|| tenures.predecessor_of(own));
        if self.now.since(self.duty_state.led_since) < settings.wait_after(predecessor) {
            return None;
        }
        if self.node.status().applied_index < self.duty_state.tenure_index {
            return None;
        }
        let token = self
            .own_token()
            .filter(|token| !self.duty_state.is_voided(*token));
        if token.is_none()
            && let Some(index) = self.propose_own(Command::BeginTenure(own))
        {
            self.duty_state.tenure_index = index;
        }
        token
    }

    /// Reports the oldest window that is closed and not yet reported.
    fn report_usage(&mut self, token: u64, settings: &DutySettings) {
        let delivered = &self.duty_state.delivered;
        let mut unreported_windows = self.state.usage.unreported().iter();
        let next = unreported_windows.find(|(window, _)| !delivered.contains(window));
        if let Some((window, counts)) = next {
            let duty = Duty::Usage {
                window: *window,
                counts: counts.clone(),
            };
            self.call(token, duty, settings);
        }
    }

    /// Orders the engines that are needed and returns those that are not.
    fn size_fleet(&mut self, token: u64, settings: &DutySettings) {
        let Some(routes) = self.state.configuration.routes.clone() else {
            return;
        };
        let needed = &self.state.needed_engines;
        for step in self.sizing.steps(&routes, needed, self.now) {
            match step {
                SizingStep::NoteNeeded(service, engines) => {
                    self.propose_needed_engines(service, engines)
                }
                SizingStep::Order(duty) => {
                    if self.call(token, duty.clone(), settings) {
                        self.sizing.on_order_sent(&duty, self.now);
                    }
                }
            }
        }
    }

    fn propose_needed_engines(&mut self, service: ServiceId, engines: u32) {
        if self.node.status().applied_index < self.duty_state.needed_index {
            return;
        }
        let command = Command::NoteNeeded { service, engines };
        if let Some(index) = self.propose_own(command) {
            self.duty_state.needed_index = index;
        }
    }

    /// Makes a call, unless one about the same subject is in flight or waits for its retry.
    fn call(&mut self, token: u64, duty: Duty, settings: &DutySettings) -> bool {
        let call_state = self
            .duty_state
            .call_states
            .entry(duty.subject())
            .or_default();
        if !call_state.may_start(settings, self.now) {
            return false;
        }
        call_state.in_flight_since = Some(self.now);
        self.effects
            .push(Effect::CallPlatform(DutyCall { token, duty }));
        true
    }

    pub(super) fn handle_duty_answer(&mut self, call: &DutyCall, answer: DutyAnswer) {
        let call_state = self
            .duty_state
            .call_states
            .entry(call.duty.subject())
            .or_default();
        call_state.in_flight_since = None;
        match answer {
            DutyAnswer::Done => call_state.retry_pause = MIN_RETRY_PAUSE,
            DutyAnswer::Throttled => call_state.delay_retry(self.now),
            DutyAnswer::Unknown if call.duty.may_arrive_late() => call_state.delay_retry(self.now),
            // The token is not used again for this subject: it was refused, or the order
            // that it made could take effect after the next one.
            DutyAnswer::Refused | DutyAnswer::Unknown => {
                call_state.voided_token = Some(call.token);
                call_state.delay_retry(self.now);
            }
        }
        match call.duty {
            Duty::Usage { window, .. } if answer == DutyAnswer::Done => {
                self.on_usage_delivered(window)
            }
            Duty::Usage { .. } => {}
            Duty::Fleet { .. } => self.sizing.on_answer(&call.duty, answer, self.now),
        }
    }

    fn on_usage_delivered(&mut self, window: UsageWindow) {
        let unreported_windows = self.state.usage.unreported();
        self.duty_state
            .delivered
            .retain(|delivered| unreported_windows.contains_key(delivered));
        self.duty_state.delivered.insert(window);
        // If this entry is lost, the next leader reports the same window again.
        self.propose_own(Command::UsageTold(window));
    }
}
