//! The course of one request through a run, for a person who looks for the cause of a
//! violation.
//!
//! Contract: recording changes nothing in the run; a seed gives the same run with and
//! without it.

use std::collections::BTreeSet;
use std::fmt;

use garnet_gateway::{Answer, AttemptEvent, AttemptId, Job};
use garnet_types::{Millis, RequestId};

use crate::message::Host;

/// Something that happened to the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimelineEntry {
    /// When, in milliseconds of the run.
    pub at: Millis,
    /// What.
    pub event: TimelineEvent,
}

/// What may happen to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TimelineEvent {
    /// Its call reached a gateway.
    Arrived(Host),
    /// A gateway sent an attempt.
    Dispatched {
        /// The attempt.
        attempt: AttemptId,
        /// Its back end.
        to: Host,
        /// What the back end is to do.
        phase: &'static str,
    },
    /// Something became of an attempt, as its gateway received it.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// What the back end answered.
        outcome: String,
    },
    /// Its gateway gave the final answer.
    Answered(String),
}

impl fmt::Display for TimelineEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms: ", self.at.0)?;
        match &self.event {
            TimelineEvent::Arrived(host) => write!(f, "arrives at {host:?}"),
            TimelineEvent::Dispatched { attempt, to, phase } => {
                write!(f, "attempt {}: {phase} sent to {to:?}", attempt.0)
            }
            TimelineEvent::Attempt { attempt, outcome } => {
                write!(f, "attempt {}: {outcome}", attempt.0)
            }
            TimelineEvent::Answered(answer) => write!(f, "answered: {answer}"),
        }
    }
}

/// Records the course of one request.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    request: Option<RequestId>,
    /// Attempts of the request: gateway, its start, and the attempt.
    attempts: BTreeSet<(usize, u64, AttemptId)>,
    entries: Vec<TimelineEntry>,
}

impl Timeline {
    pub(crate) fn of(request: Option<RequestId>) -> Self {
        Timeline {
            request,
            ..Timeline::default()
        }
    }

    pub(crate) fn into_entries(self) -> Vec<TimelineEntry> {
        self.entries
    }

    pub(crate) fn arrived(&mut self, request: RequestId, at: Millis, gateway: Host) {
        if self.request == Some(request) {
            self.note(at, TimelineEvent::Arrived(gateway));
        }
    }

    /// A gateway sends an attempt; `sender` is its place and its start.
    pub(crate) fn dispatched(
        &mut self,
        request: RequestId,
        at: Millis,
        sender: (usize, u64),
        attempt: AttemptId,
        (to, job): (Host, &Job),
    ) {
        if self.request != Some(request) {
            return;
        }
        let (gateway, start) = sender;
        self.attempts.insert((gateway, start, attempt));
        let phase = phase_name(job);
        self.note(at, TimelineEvent::Dispatched { attempt, to, phase });
    }

    /// An attempt's event reaches its gateway.
    pub(crate) fn attempt(
        &mut self,
        at: Millis,
        receiver: (usize, u64),
        attempt: AttemptId,
        event: &AttemptEvent,
    ) {
        let (gateway, start) = receiver;
        let is_token = matches!(event, AttemptEvent::Tokens { .. });
        if is_token || !self.attempts.contains(&(gateway, start, attempt)) {
            return;
        }
        let outcome = format!("{event:?}");
        self.note(at, TimelineEvent::Attempt { attempt, outcome });
    }

    pub(crate) fn answered(&mut self, request: RequestId, at: Millis, answer: &Answer) {
        if self.request != Some(request) {
            return;
        }
        let answer = match answer {
            Answer::Refused(refusal) => format!(
                "refused, {}, ran: {:?}, {}",
                refusal.code.as_str(),
                refusal.ran,
                refusal.message
            ),
            Answer::Text(_) | Answer::Response(_) => "whole".to_owned(),
        };
        self.note(at, TimelineEvent::Answered(answer));
    }

    fn note(&mut self, at: Millis, event: TimelineEvent) {
        self.entries.push(TimelineEntry { at, event });
    }
}

fn phase_name(job: &Job) -> &'static str {
    match job {
        Job::Prefill { .. } => "prefill",
        Job::Generate { kv: Some(_), .. } => "decode",
        Job::Generate { kv: None, .. } => "generate",
        Job::Application { .. } => "application call",
    }
}
