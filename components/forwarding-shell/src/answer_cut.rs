//! Why an answer that has begun is cut before its end.

use std::net::SocketAddr;

use garnet_runtime::HttpError;
use garnet_types::{BackendId, Millis};

use crate::event_reader::BreakCause;
use crate::gateway::Gateway;
use crate::ports::{BackendPort, CallerPort};
use crate::request::RunningRequest;

/// What ended the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CutCause {
    /// The timeout of the caller or the route has passed.
    TimeOver,
    /// The engine broke off, and the stream may not resume elsewhere.
    EngineBroke,
    /// The engine was abandoned or broke off, and no other one resumed the stream.
    NoSuccessor,
    /// The engine that resumed the stream did not mark the end of its answer.
    EndNotMarked,
}

impl CutCause {
    /// Name in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            CutCause::TimeOver => "time_over",
            CutCause::EngineBroke => "engine_broke",
            CutCause::NoSuccessor => "no_successor",
            CutCause::EndNotMarked => "end_not_marked",
        }
    }
}

/// How the last run that did not finish the answer ended.
#[derive(Debug, Default)]
pub(crate) enum RunEnd {
    /// No run has ended.
    #[default]
    Open,
    /// The gateway left it because it was silent.
    LeftSilent,
    /// It broke off.
    Broke(BreakCause),
}

impl RunEnd {
    /// Text in logs; empty if no run has ended.
    pub(crate) fn text(&self) -> String {
        match self {
            RunEnd::Open => String::new(),
            RunEnd::LeftSilent => "silent".to_owned(),
            RunEnd::Broke(cause) => cause.to_string(),
        }
    }

    /// Whether the other end of the run's connection broke it off, and not this gateway.
    fn is_of_other_end(&self) -> bool {
        match self {
            RunEnd::Open | RunEnd::LeftSilent | RunEnd::Broke(BreakCause::Refused(_)) => false,
            RunEnd::Broke(BreakCause::Connection(error)) => matches!(error, HttpError::Broken(_)),
            RunEnd::Broke(BreakCause::IncompleteEvent | BreakCause::NoEvent) => true,
        }
    }
}

/// An answer that is cut.
pub(crate) struct AnswerCut<'a> {
    pub(crate) cause: CutCause,
    pub(crate) run_end: &'a RunEnd,
    /// Id of the last event that the caller has.
    pub(crate) after: Option<&'a str>,
    pub(crate) last_event_at: Millis,
    /// The relay that passed the answer on, if one did.
    pub(crate) relay: Option<SocketAddr>,
}

impl AnswerCut<'_> {
    /// Which process ended the answer.
    fn ended_by(&self) -> &'static str {
        let is_of_other_end = match self.cause {
            CutCause::TimeOver => false,
            CutCause::EndNotMarked => true,
            CutCause::EngineBroke | CutCause::NoSuccessor => self.run_end.is_of_other_end(),
        };
        match (is_of_other_end, self.relay) {
            (false, _) => "gateway",
            (true, None) => "engine",
            (true, Some(_)) => "relay",
        }
    }

    /// Logs what is needed to trace a cut: the caller sees only that its connection ends,
    /// and `request_ended` says only that the answer was cut.
    pub(crate) fn note<C: CallerPort, B: BackendPort>(
        &self,
        gateway: &Gateway<C, B>,
        running: &RunningRequest,
    ) {
        let now = gateway.now();
        let mut forwarder = gateway.forwarder.borrow_mut();
        let (open, known) = forwarder.open_backends(now);
        log::info!(
            request = running.call.facts.id.as_str(),
            service = running.service.as_str(),
            backend = running.served_by.as_ref().map_or("", BackendId::as_str),
            relay = self.relay.map_or(String::new(), |relay| relay.to_string()).as_str(),
            cause = self.cause.as_str(),
            ended_by = self.ended_by(),
            engine_end = self.run_end.text().as_str(),
            after = self.after.unwrap_or_default(),
            quiet_ms = now.since(self.last_event_at).0,
            given_ms = running.remaining(running.arrived).0,
            remaining_ms = running.remaining(now).0,
            ran = running.progress.ran,
            rejected = running.progress.rejected,
            unreachable = running.progress.unreachable,
            max_attempts = running.work.max_attempts,
            has_repeat = forwarder.has_repeat(&running.service, now),
            open_backends = open,
            known_backends = known,
            index = forwarder.configuration_index(),
            routes_version = forwarder.routes_version().unwrap_or_default(),
            routes_for_ms = now.since(gateway.routes_since.get()).0,
            reloaded_for_ms = since_reload(gateway, now).as_str(),
            started_for_ms = now.since(gateway.started_at).0;
            "answer_cut"
        );
        gateway.metrics.cut(self.cause.as_str());
    }
}

/// Milliseconds since the last SIGHUP reloaded the settings; empty if none has.
fn since_reload<C, B>(gateway: &Gateway<C, B>, now: Millis) -> String {
    let reloaded_at = gateway.reloaded_at.current();
    reloaded_at.map_or(String::new(), |at| now.since(at).0.to_string())
}
