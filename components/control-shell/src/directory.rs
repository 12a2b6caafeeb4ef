//! The trait through which the list of machines is read, and the child task that polls
//! it. This directory of machines has nothing to do with the folders of
//! [`garnet_storage::Directory`].

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

/// How often a replica that does not lead checks whether it leads, if only the leader
/// reads the list.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why the list of machines could not be read.
#[derive(Debug, Display, Error)]
pub enum DirectoryError {
    /// no answer: {0}
    Unreachable(String),
    /// too many requests
    Throttled,
    /// the answer can't be read: {0}
    Malformed(String),
}

/// The result of one read of the list.
#[derive(Debug, Default)]
pub struct ListedMachines {
    /// The machines in the list.
    pub machines: Vec<MachineEntry>,
    /// For each entry that was skipped, the reason why it can't be used.
    pub skipped_entries: Vec<String>,
}

/// Reads the list of machines.
pub trait DirectoryPort {
    /// Reads the current list.
    fn read(&self) -> impl Future<Output = Result<ListedMachines, DirectoryError>>;
    /// Delay between two reads.
    fn interval(&self) -> Duration;
    /// Whether only the leader reads the list, because each request has a cost.
    fn leader_only(&self) -> bool;
}

/// A child that polls the list of machines.
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
            let polling = poll_list(&*directory, &leads, &events, &metrics);
            smol::future::or(polling, stop.stopped()).await;
            Ok::<(), ChildError>(())
        }
    })
}

async fn poll_list(
    directory: &impl DirectoryPort,
    leads: &Cell<bool>,
    events: &Sender<Event>,
    metrics: &ReplicaMetrics,
) {
    let mut healthy = true;
    let mut skipped_entries = 0;
    loop {
        if directory.leader_only() && !leads.get() {
            Timer::after(LEADERSHIP_CHECK_INTERVAL).await;
            continue;
        }
        match directory.read().await {
            Ok(listing) => {
                if !healthy {
                    log::info!(machines = listing.machines.len(); "directory_regained");
                }
                healthy = true;
                metrics.set_skipped_entries(listing.skipped_entries.len());
                if listing.skipped_entries.len() != skipped_entries {
                    skipped_entries = listing.skipped_entries.len();
                    log_skipped_entries(&listing.skipped_entries);
                }
                let _receiver_closed = events.send(Event::Machines(listing.machines)).await;
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

/// Logs one line, however many entries were skipped.
fn log_skipped_entries(reasons: &[String]) {
    let first = reasons.first().map_or("", String::as_str);
    log::warn!(entries = reasons.len(), first = first; "list_entries_left_aside");
}
