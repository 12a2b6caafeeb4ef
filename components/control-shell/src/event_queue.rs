//! The events of a replica, some of which are handled while its log is written.
//!
//! Contract: events are handled in order of arrival, except that those which need no log are handled
//! at once while it is written, unless their answer depends on an event that waits for the end of
//! the write. A write may take longer than gateways wait for their answers.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;

use garnet_control::{Effect, Event, Replica};
use garnet_types::Millis;
use smol::channel::Receiver;

/// The receiving end of a replica's events.
#[derive(Debug)]
pub struct EventQueue {
    arriving: Receiver<Event>,
    /// Events that arrived while the log was written, and wait for its end.
    deferred: RefCell<VecDeque<Event>>,
}

impl EventQueue {
    /// The queue of the events that arrive.
    pub fn new(arriving: Receiver<Event>) -> Self {
        EventQueue {
            arriving,
            deferred: RefCell::default(),
        }
    }

    /// Waits for the next event; `None` if no more can arrive.
    pub async fn next(&self) -> Option<Event> {
        if let Some(event) = self.next_deferred() {
            return Some(event);
        }
        self.arriving.recv().await.ok()
    }

    /// The next event, if there is one.
    pub fn try_next(&self) -> Option<Event> {
        self.next_deferred()
            .or_else(|| self.arriving.try_recv().ok())
    }

    /// Whether an event that waits has to be handled before this one.
    fn must_wait(&self, event: &Event, replica: &Replica) -> bool {
        let deferred = self.deferred.borrow();
        let mut earlier = deferred.iter();
        earlier.any(|earlier| replica.must_precede(earlier, event))
    }

    fn next_deferred(&self) -> Option<Event> {
        self.deferred.borrow_mut().pop_front()
    }

    /// Waits for the end of `writing`, and meanwhile handles the events that need no log. Their
    /// effects are passed to `carry_out`.
    pub async fn handle_while_writing<T>(
        &self,
        writing: impl Future<Output = T>,
        replica: &mut Replica,
        now: impl Fn() -> Millis,
        carry_out: impl Fn(Effect),
    ) -> T {
        let handling = async {
            while let Ok(event) = self.arriving.recv().await {
                let at = now();
                if replica.may_handle_while_writing(&event, at) && !self.must_wait(&event, replica)
                {
                    let effects = replica.handle_while_writing(event, at);
                    effects.into_iter().for_each(&carry_out);
                } else {
                    self.deferred.borrow_mut().push_back(event);
                }
            }
            std::future::pending().await
        };
        smol::future::or(writing, handling).await
    }
}
