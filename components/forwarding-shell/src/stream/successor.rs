//! Resumes a stream at another engine when one is silent or has broken off.

use std::pin::pin;

use garnet_forwarding::AttemptEnd;
use garnet_types::{BackendId, BuildId, Framing};

use crate::answer_cut::{CutCause, RunEnd};
use crate::event_reader::{BreakCause, Received};
use crate::ports::{BackendPort, CallerPort};

use super::search::{Found, NotStreamed};
use super::{Next, Stream};

/// Which delivered first, the silent engine or its successor.
enum First<C: CallerPort + 'static, B: BackendPort + 'static> {
    Silent(Received),
    Successor {
        found: Result<Box<Found<C, B>>, NotStreamed>,
        /// The cause, if the silent engine broke off meanwhile.
        broke_off: Option<BreakCause>,
    },
}

impl<C: CallerPort + 'static, B: BackendPort + 'static> Stream<C, B> {
    /// Resumes the stream at another engine while the current one, which is silent, stays
    /// open. The first to deliver continues the answer and the other is closed. Returns
    /// `None` if there is no successor and the current engine is still awaited.
    ///
    /// Invariant: the silent engine is closed when another one has delivered, not before.
    /// The other one may be full, silent or gone itself, while this one is healthy and
    /// continues in a moment.
    pub(super) async fn resume_hedged(&mut self) -> Option<Next> {
        let silent = self.search.running.served_by.clone();
        if !self.search.begin_hedge() {
            return None;
        }
        if let Some(run) = &mut self.run {
            run.note_silent();
        }
        // The silent engine may still complete the answer, which this end could not.
        self.search.needs_marked_end = self.framing == Framing::Delimited;
        let first = self.first_received().await;
        self.search.needs_marked_end = false;
        match first {
            First::Silent(received) => {
                self.search.cancel();
                self.keep_silent_engine(silent);
                Some(self.on_received(received))
            }
            First::Successor {
                found: Err(_),
                broke_off: None,
            } => {
                self.keep_silent_engine(silent);
                None
            }
            First::Successor { found, broke_off } => {
                self.search.running.progress.silent_ended();
                self.drop_silent_engine(silent.as_ref(), broke_off);
                Some(match found {
                    Ok(found) => self.switch_to(*found),
                    Err(_) => self.hand_over().await,
                })
            }
        }
    }

    async fn first_received(&mut self) -> First<C, B> {
        let Stream { search, run, .. } = self;
        let mut searching = pin!(search.find_run());
        let mut broke_off = None;
        if let Some(run) = run {
            let silent = async { First::Silent(run.next().await) };
            let successor = async {
                First::Successor {
                    found: searching.as_mut().await.map(Box::new),
                    broke_off: None,
                }
            };
            match smol::future::or(silent, successor).await {
                First::Silent(Received::Broke(cause)) => broke_off = Some(cause),
                first => return first,
            }
        }
        First::Successor {
            found: searching.await.map(Box::new),
            broke_off,
        }
    }

    /// Continues the answer with the engine that was silent.
    fn keep_silent_engine(&mut self, silent: Option<BackendId>) {
        self.search.running.served_by = silent;
        self.search.running.progress.silent_resumed();
    }

    /// Drops the engine that was silent.
    fn drop_silent_engine(&mut self, silent: Option<&BackendId>, broke_off: Option<BreakCause>) {
        let Some(run) = self.run.take() else {
            return;
        };
        match broke_off {
            Some(cause) => {
                run.broke_off(&self.search.running.call, &cause);
                self.note_run_end(silent, RunEnd::Broke(cause));
            }
            None => {
                drop(run);
                self.note_run_end(silent, RunEnd::LeftSilent);
            }
        }
    }

    /// Resumes the stream at another engine after the current one broke off.
    pub(super) async fn resume_after_break(&mut self) -> Next {
        let found = match self.search.handle_attempt_end(AttemptEnd::Broken) {
            Ok(()) => self.search.find_run().await,
            Err(not_streamed) => Err(not_streamed),
        };
        match found {
            Ok(found) => self.switch_to(found),
            Err(_) => self.hand_over().await,
        }
    }

    /// Hands the rest of the stream to a relay if this gateway has lost its path to the engines.
    async fn hand_over(&mut self) -> Next {
        self.search.path_decided().await;
        if self.can_resume() && self.search.may_hand_over() {
            return Next::HandOver;
        }
        Next::Cut(CutCause::NoSuccessor)
    }

    fn switch_to(&mut self, found: Found<C, B>) -> Next {
        let build = self.search.running.work.build.as_ref();
        log::info!(
            request = self.search.running.call.facts.id.as_str(),
            after = self.search.resume_after.as_deref().unwrap_or_default(),
            build = build.map_or("", BuildId::as_str);
            "stream_resumed"
        );
        self.run = Some(found.run);
        self.on_received(found.first)
    }
}
