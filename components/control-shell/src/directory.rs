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

use crate::metrics::ReplicaMetrics;

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

/// One reading of the list.
#[derive(Debug, Default)]
pub struct ListedMachines {
    /// The machines that it names.
    pub machines: Vec<MachineEntry>,
    /// Why entries were left aside, one reason for each: they name nothing that can
    /// be used.
    pub skipped_entries: Vec<String>,
}

/// Reads the list of machines.
pub trait DirectoryPort {
    /// The whole list as it stands.
    fn read(&self) -> impl Future<Output = Result<ListedMachines, DirectoryError>>;
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
    metrics: Rc<ReplicaMetrics>,
) -> ChildSpec {
    ChildSpec::new("directory", Restart::Permanent, move |stop: StopSignal| {
        let directory = Rc::clone(&directory);
        let leads = Rc::clone(&leads);
        let events = events.clone();
        let metrics = Rc::clone(&metrics);
        async move {
            let reading = read_on(&*directory, &leads, &events, &metrics);
            smol::future::or(reading, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

async fn read_on(
    directory: &impl DirectoryPort,
    leads: &Cell<bool>,
    events: &Sender<Event>,
    metrics: &ReplicaMetrics,
) {
    let mut healthy = true;
    let mut skipped_entries = 0;
    loop {
        if directory.leader_only() && !leads.get() {
            Timer::after(LEADERSHIP_CHECK).await;
            continue;
        }
        match directory.read().await {
            Ok(listing) => {
                if !healthy {
                    log::info!(machines = listing.machines.len(); "directory_regained");
                }
                healthy = true;
                metrics.left_entries_aside(listing.skipped_entries.len());
                if listing.skipped_entries.len() != skipped_entries {
                    skipped_entries = listing.skipped_entries.len();
                    note_left_aside(&listing.skipped_entries);
                }
                let _unheard = events.send(Event::Machines(listing.machines)).await;
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

/// One line, whatever the number of entries.
fn note_left_aside(reasons: &[String]) {
    let first = reasons.first().map_or("", String::as_str);
    log::warn!(entries = reasons.len(), first = first; "list_entries_left_aside");
}
