//! Why an answer that has begun is cut before its end.

use garnet_types::BackendId;

use crate::ports::{BackendPort, CallerPort};

use super::Stream;

/// What ended the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CutCause {
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

impl<C: CallerPort + 'static, B: BackendPort + 'static> Stream<C, B> {
    /// Logs what is needed to trace a cut: the caller sees only that its connection ends,
    /// and `request_ended` says only that the answer was cut.
    pub(super) fn note_cut(&self, cause: CutCause) {
        let Stream {
            gateway, search, ..
        } = self;
        let running = &search.running;
        let now = gateway.now();
        let mut forwarder = gateway.forwarder.borrow_mut();
        let (open, known) = forwarder.open_backends(now);
        log::info!(
            request = running.call.facts.id.as_str(),
            service = running.service.as_str(),
            backend = running.served_by.as_ref().map_or("", BackendId::as_str),
            cause = cause.as_str(),
            engine_end = self.engine_end.as_str(),
            after = search.resume_after.as_deref().unwrap_or_default(),
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
            routes_for_ms = now.since(gateway.routes_since.get()).0;
            "answer_cut"
        );
        gateway.metrics.cut(cause.as_str());
    }
}
