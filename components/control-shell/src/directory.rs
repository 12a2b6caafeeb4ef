//! The port to the list of machines, and the child that reads it.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use garnet_control::{Event, MachineEntry};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use smol::Timer;
use smol::channel::Sender;
use thiserror::Error;

/// How often a replica that does not lead looks whether it leads now.
const LEADERSHIP_CHECK: Duration = Duration::from_millis(100);

/// Why the list could not be read.
#[derive(Debug, Display, Error)]
pub enum DirectoryError {
    /// no answer: {0}
    Unreachable(String),
    /// too many questions are asked
    Throttled,
    /// the answer can't be read: {0}
    Malformed(String),
}

/// Reads the list of machines.
pub trait DirectoryPort {
    /// The whole list as it stands.
    fn read(&self) -> impl Future<Output = Result<Vec<MachineEntry>, DirectoryError>>;
    /// Pause between two readings.
    fn interval(&self) -> Duration;
    /// Whether only the leader reads, where each question has a price.
    fn leader_only(&self) -> bool;
}

/// A child that reads the list again and again.
pub(crate) fn child<D: DirectoryPort + 'static>(
    directory: Rc<D>,
    leads: Rc<Cell<bool>>,
    events: Sender<Event>,
) -> ChildSpec {
    ChildSpec::new("directory", Restart::Permanent, move |stop: StopSignal| {
        let directory = Rc::clone(&directory);
        let leads = Rc::clone(&leads);
        let events = events.clone();
        async move {
            let reading = read_on(&*directory, &leads, &events);
            smol::future::or(reading, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

async fn read_on(directory: &impl DirectoryPort, leads: &Cell<bool>, events: &Sender<Event>) {
    let mut healthy = true;
    loop {
        if directory.leader_only() && !leads.get() {
            Timer::after(LEADERSHIP_CHECK).await;
            continue;
        }
        match directory.read().await {
            Ok(machines) => {
                if !healthy {
                    log::info!(machines = machines.len(); "directory_regained");
                }
                healthy = true;
                let _unheard = events.send(Event::Machines(machines)).await;
            }
            Err(error) => {
                if healthy {
                    log::warn!(cause = error.to_string().as_str(); "directory_lost");
                }
                healthy = false;
            }
        }
        Timer::after(directory.interval()).await;
    }
}
