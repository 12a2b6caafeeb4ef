//! Opens the data folder, binds the port and runs the supervisor tree.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use garnet_control::ControlReply;
use garnet_gateway::{Event, Gateway, GatewaySettings};
use garnet_quarantine::RunReport;
use garnet_runtime::control_link::{self, ControlLinkHandler};
use garnet_runtime::report_link::{self, ReportLinkHandler};
use garnet_runtime::server::Limits;
use garnet_runtime::{HttpServer, Shell, until_last_answers};
use garnet_storage::{DiskDirectory, DiskIdentity, StorageError, load_value, save_value};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::{EncodingVersion, GatewayId, Millis};
use smol::Timer;
use smol::channel::{Receiver, bounded, unbounded};

use crate::callers::{self, Callers};
use crate::context::Context;
use crate::settings::Settings;

const TICK: Duration = Duration::from_millis(20);
const INDEX_FILE: &str = "configuration-index";
const STARTS_FILE: &str = "starts";
/// Messages to the leader that wait for its connection; more are lost and
/// sent again.
const QUEUED_REQUESTS: usize = 4096;

/// What the data folder held.
struct Opened {
    directory: DiskDirectory,
    id: GatewayId,
    highest_index: u64,
}

/// The link to the leader belongs to the gateway's context.
#[derive(Clone)]
struct LinkOwner {
    context: Context,
    controls: Vec<String>,
}

impl ControlLinkHandler for LinkOwner {
    fn replicas(&self) -> Vec<String> {
        self.controls.clone()
    }

    fn on_connected(&self, version: EncodingVersion) {
        self.context.handle(Event::LeaderConnected(version));
    }

    fn on_reply(&self, reply: ControlReply) {
        self.context.handle(Event::Control(reply));
    }
}

/// The report connection belongs to the gateway's context as well.
#[derive(Clone)]
struct ReportLinkOwner {
    context: Context,
    /// The control replicas, in the order that is the same at all gateways.
    controls: Vec<String>,
}

impl ReportLinkOwner {
    fn new(context: Context, mut controls: Vec<String>) -> Self {
        controls.sort();
        controls.dedup();
        ReportLinkOwner { context, controls }
    }
}

impl ReportLinkHandler for ReportLinkOwner {
    fn replicas(&self) -> Vec<String> {
        if !self.context.uses_report_connection() {
            return Vec::new();
        }
        self.controls.clone()
    }

    fn on_connected(&self) {
        self.context.handle(Event::ReportConnected);
    }

    fn next_report(&self) -> RunReport {
        self.context.next_run_report().unwrap_or_default()
    }

    fn on_reply(&self, reply: ControlReply) {
        self.context.handle(Event::ReportReply(reply));
    }
}

/// Runs the gateway until a planned stop.
pub(crate) fn run(settings: Settings) -> io::Result<()> {
    let shell = Shell::new();
    let opened = open(&settings)?;
    let limits = Limits::default();
    let server = smol::block_on(HttpServer::bind(settings.listen, limits))?;
    let address = server.address()?.to_string();
    log::info!(address = address.as_str(), gateway = opened.id.as_str(); "listening");
    let gateway = Gateway::new(GatewaySettings {
        zone: settings.zone.clone(),
        highest_index: opened.highest_index,
        waiting_capacity: settings.waiting_capacity,
        application_concurrency: settings.application_concurrency,
        admission: settings.admission,
        ..GatewaySettings::new(opened.id.clone(), rand::random())
    });
    let (to_control, requests) = bounded(QUEUED_REQUESTS);
    let (to_disk, indexes) = unbounded();
    let context = Context::new(
        gateway,
        Rc::clone(&shell.executor),
        shell.clock,
        settings.max_body_bytes,
        to_control,
        to_disk,
    );
    let callers = Callers::new(context.clone());
    let report_owner = ReportLinkOwner::new(context.clone(), settings.controls.clone());
    let children = vec![
        ticker_child(context.clone()),
        disk_child(context.clone(), opened.directory, indexes),
        control_link::child(
            LinkOwner {
                context: context.clone(),
                controls: settings.controls,
            },
            opened.id.clone(),
            requests,
        ),
        report_link::child(report_owner, opened.id),
        shell.http_child(Rc::new(server), move |request| {
            callers::handle(callers.clone(), request)
        }),
    ];
    shell.run(children, drain(context, settings.grace))
}

fn open(settings: &Settings) -> io::Result<Opened> {
    let mut directory = DiskDirectory::open(&settings.data).map_err(|error| {
        let folder = settings.data.display();
        io::Error::new(error.kind(), format!("data folder {folder}: {error}"))
    })?;
    let counted = count_start(&mut directory, &settings.name).map_err(io::Error::other)?;
    let (start, highest_index) = counted;
    Ok(Opened {
        directory,
        id: GatewayId::new(format!("{}.{start}", settings.name)),
        highest_index,
    })
}

/// Each start is a gateway of its own: claims of a former one are not its.
fn count_start(directory: &mut DiskDirectory, name: &str) -> Result<(u64, u64), StorageError> {
    let (identity, _) = DiskIdentity::open_or_create(directory, name, rand::random())?;
    let starts: u64 = load_value(directory, STARTS_FILE)?.unwrap_or_default();
    save_value(directory, STARTS_FILE, &(starts + 1))?;
    let highest_index = load_value(directory, INDEX_FILE)?.unwrap_or_default();
    // An empty disk would count from zero again, so the disk is in the name.
    let start = identity.incarnation.wrapping_add(starts);
    Ok((start, highest_index))
}

fn ticker_child(context: Context) -> ChildSpec {
    ChildSpec::new("ticker", Restart::Permanent, move |stop: StopSignal| {
        let context = context.clone();
        async move {
            while !stop.is_stopped() {
                context.handle(Event::Tick);
                Timer::after(TICK).await;
            }
            Ok::<(), ChildError>(())
        }
    })
}

/// Saves the highest configuration index, off the loop. A disk that fails
/// ends the process: what it does not keep must not be confirmed.
fn disk_child(context: Context, directory: DiskDirectory, indexes: Receiver<u64>) -> ChildSpec {
    let directory = Rc::new(std::cell::RefCell::new(Some(directory)));
    ChildSpec::new("disk", Restart::Essential, move |stop: StopSignal| {
        let context = context.clone();
        let indexes = indexes.clone();
        let directory = directory.borrow_mut().take();
        async move {
            let mut directory = directory.ok_or(ChildError::new("the disk was opened twice"))?;
            let saving = async {
                while let Ok(mut index) = indexes.recv().await {
                    while let Ok(later) = indexes.try_recv() {
                        index = later;
                    }
                    directory = save_index(directory, index).await?;
                    context.handle(Event::IndexPersisted(index));
                }
                Ok(())
            };
            let stopped = async {
                stop.stopped().await;
                Ok(())
            };
            smol::future::or(saving, stopped).await
        }
    })
}

async fn save_index(mut directory: DiskDirectory, index: u64) -> Result<DiskDirectory, ChildError> {
    smol::unblock(move || {
        save_value(&mut directory, INDEX_FILE, &index)?;
        Ok::<_, StorageError>(directory)
    })
    .await
    .map_err(ChildError::new)
}

/// A planned stop: new requests are refused as not run, open ones finish or are answered shortly
/// before the process is killed.
async fn drain(context: Context, grace: Option<Duration>) {
    let until_end = grace.map(until_last_answers);
    let until_end_ms = until_end.and_then(|until_end| u64::try_from(until_end.as_millis()).ok());
    let ends_at = until_end_ms.map(|until_end_ms| context.clock.now() + Millis(until_end_ms));
    let open_requests = context.with_gateway(|gateway, _| gateway.open_requests());
    log::info!(open_requests = open_requests; "stop_begun");
    context.handle(Event::Drain { ends_at });
    while !context.with_gateway(|gateway, _| gateway.is_drained()) {
        Timer::after(TICK).await;
    }
}
