//! A gateway's report connection: while the leader is of a version without reports of ended
//! runs, a replica of the present build receives them.
//!
//! Only a replica that receives the reports of all gateways sees every crash. So all gateways
//! try the replicas in the same order, and return to the first one soon.

use std::time::{Duration, Instant};

use garnet_control::{ControlReply, GatewayRequest};
use garnet_quarantine::{PromptReport, RunReport};
use garnet_supervisor::{ChildError, ChildSpec, Restart, StopSignal};
use garnet_types::{EncodingVersion, GatewayId};
use garnet_wire::{Frame, Sender as FrameSender};
use smol::Timer;

use crate::connect_timeout::ConnectTimeout;
use crate::frames::{self, FrameReader, FrameWriter};

/// Time in which a replica has to accept a connection and its hello: the longest connect
/// timeout, and a round trip.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection on which a report is not answered within this time is closed, as one to the
/// leader is.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1200);
/// How often a gateway checks for runs to report, and whether the connection is still needed:
/// a request may crash another engine until they are received.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between two reports. A gateway without runs learns of the suspects by an
/// empty one, within the 3 s in which all gateways have to refuse a request.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// After a report of runs, reports follow at the shorter interval for this time, in which the
/// replica receives those of the other gateways and decides.
const FOLLOW_UP_TIME: Duration = Duration::from_secs(1);
/// A connection to another than the first replica is closed after this time, so that the
/// gateways soon meet at the first one again.
const MAX_TIME_AT_LATER_REPLICA: Duration = Duration::from_secs(2);
/// Pause before the replicas are tried again after a connection ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Pause before the replicas are tried again after none took reports. Replicas of an earlier
/// build log each connection that they refuse.
const SEARCH_DELAY: Duration = Duration::from_secs(1);

/// Handles the events of the report connection.
pub trait ReportLinkHandler: Clone + 'static {
    /// Addresses of the replicas, in the order that is the same at all gateways; empty while
    /// the leader takes the reports.
    fn replicas(&self) -> Vec<String>;
    /// Called when a replica takes reports on a new connection. It may have none of the runs.
    fn on_connected(&self);
    /// The runs to report next; an empty report if there are none.
    fn next_report(&self) -> RunReport;
    /// The runs of prompts to report next, if there are any.
    fn next_prompt_report(&self) -> Option<PromptReport> {
        None
    }
    /// Handles a reply of the replica.
    fn on_reply(&self, reply: ControlReply);
}

/// Why a connection ended.
enum Disconnect {
    /// The replica does not take reports, for this cause.
    NotTaken(String),
    /// The replica took reports, until the connection failed for this cause.
    Lost(String),
    /// It is no longer needed, or the first replica is tried again.
    Planned,
}

/// What was last logged about the connection.
#[derive(PartialEq, Eq)]
enum LoggedState {
    Unneeded,
    Reporting(String),
    NoReplica,
}

/// A child that keeps a connection to a replica that takes reports, while the handler names
/// replicas.
pub fn child<H: ReportLinkHandler>(handler: H, id: GatewayId) -> ChildSpec {
    ChildSpec::new(
        "report-link",
        Restart::Permanent,
        move |stop: StopSignal| {
            let mut link = Link {
                handler: handler.clone(),
                id: id.clone(),
                connect_timeout: ConnectTimeout::default(),
                logged: LoggedState::Unneeded,
            };
            async move {
                smol::future::or(link.run(), stop.stopped()).await;
                Ok::<(), ChildError>(())
            }
        },
    )
}

struct Link<H> {
    handler: H,
    id: GatewayId,
    connect_timeout: ConnectTimeout,
    logged: LoggedState,
}

impl<H: ReportLinkHandler> Link<H> {
    async fn run(&mut self) {
        loop {
            let replicas = self.handler.replicas();
            let delay = if replicas.is_empty() {
                self.log_unneeded();
                REPORT_INTERVAL
            } else {
                self.try_replicas(&replicas).await
            };
            Timer::after(delay).await;
        }
    }

    /// Tries the replicas in order until one takes reports, and reports to it until the
    /// connection ends. Returns the time until the next search.
    async fn try_replicas(&mut self, replicas: &[String]) -> Duration {
        let mut last_cause = String::new();
        for address in replicas {
            match self.try_replica(address).await {
                Disconnect::NotTaken(cause) => {
                    log::debug!(replica = address.as_str(), cause = cause.as_str(); "reports_not_taken");
                    last_cause = cause;
                }
                Disconnect::Lost(cause) => {
                    self.log_lost(address, &cause);
                    return RECONNECT_DELAY;
                }
                Disconnect::Planned => return RECONNECT_DELAY,
            }
        }
        self.log_no_replica(&last_cause);
        SEARCH_DELAY
    }

    async fn try_replica(&mut self, address: &str) -> Disconnect {
        let opened_at = Instant::now();
        let mut connection = match self.open(address).await {
            Ok(connection) => connection,
            Err(cause) => return Disconnect::NotTaken(cause),
        };
        // A replica that does not lead takes reports after an empty one.
        if let Err(cause) = connection.report(RunReport::default()).await {
            return Disconnect::NotTaken(cause);
        }
        self.log_reporting(address);
        self.handler.on_connected();
        while self.keeps(address, opened_at) {
            if let Err(cause) = connection.report_if_due().await {
                return Disconnect::Lost(cause);
            }
            if let Err(cause) = connection.read_for(REPORT_INTERVAL).await {
                return Disconnect::Lost(cause);
            }
        }
        Disconnect::Planned
    }

    async fn open(&mut self, address: &str) -> Result<Connection<H>, String> {
        let hello = FrameSender::Gateway(self.id.clone());
        let offered = EncodingVersion::CURRENT;
        let opening = frames::connect(address, hello, offered, &mut self.connect_timeout);
        let (reader, writer) = within(OPEN_TIMEOUT, async {
            opening.await.map_err(|error| error.to_string())
        })
        .await?;
        let version = writer.version();
        if version < EncodingVersion::V16 {
            return Err(format!("version {} has no reports", version.0));
        }
        Ok(Connection {
            handler: self.handler.clone(),
            reader,
            writer,
            reported_at: None,
            runs_reported_at: None,
        })
    }

    /// Whether a connection that was opened to this replica at that time is kept.
    fn keeps(&self, address: &str, opened_at: Instant) -> bool {
        let replicas = self.handler.replicas();
        let is_first = replicas.first().is_some_and(|first| first == address);
        let is_recent = opened_at.elapsed() < MAX_TIME_AT_LATER_REPLICA;
        is_first || (is_recent && !replicas.is_empty())
    }

    fn log_reporting(&mut self, address: &str) {
        let state = LoggedState::Reporting(address.to_owned());
        if self.logged != state {
            log::info!(replica = address; "report_link_opened");
        }
        self.logged = state;
    }

    fn log_lost(&mut self, address: &str, cause: &str) {
        log::warn!(replica = address, cause = cause; "report_link_lost");
        self.logged = LoggedState::Unneeded;
    }

    fn log_no_replica(&mut self, cause: &str) {
        if self.logged != LoggedState::NoReplica {
            log::warn!(cause = cause; "no_replica_takes_reports");
        }
        self.logged = LoggedState::NoReplica;
    }

    fn log_unneeded(&mut self) {
        if self.logged != LoggedState::Unneeded {
            log::info!("report_link_closed");
        }
        self.logged = LoggedState::Unneeded;
    }
}

/// An open connection. Errors are the cause for which it ends.
struct Connection<H> {
    handler: H,
    reader: FrameReader,
    writer: FrameWriter,
    /// When the last report was sent.
    reported_at: Option<Instant>,
    /// When the last report with runs was sent.
    runs_reported_at: Option<Instant>,
}

impl<H: ReportLinkHandler> Connection<H> {
    /// Reports the next runs, or sends an empty report if one is due.
    async fn report_if_due(&mut self) -> Result<(), String> {
        if let Some(report) = self.handler.next_prompt_report() {
            self.report_prompts(report).await?;
        }
        let report = self.handler.next_report();
        if report.runs.is_empty() && !self.is_empty_report_due() {
            return Ok(());
        }
        self.report(report).await
    }

    fn is_empty_report_due(&self) -> bool {
        let is_within = |at: Option<Instant>, time| at.is_some_and(|at| at.elapsed() < time);
        let follows_runs = is_within(self.runs_reported_at, FOLLOW_UP_TIME);
        follows_runs || !is_within(self.reported_at, MAX_REPORT_INTERVAL)
    }

    /// Sends a report and waits until the replica confirms it.
    async fn report(&mut self, report: RunReport) -> Result<(), String> {
        let sent_at = Instant::now();
        self.reported_at = Some(sent_at);
        if !report.runs.is_empty() {
            self.runs_reported_at = Some(sent_at);
        }
        let through = report.through;
        within(REPLY_TIMEOUT, async {
            let request = Frame::Gateway(GatewayRequest::Runs(report));
            let sent = self.writer.send(request).await;
            sent.map_err(|error| error.to_string())?;
            while self.read().await? != Some(through) {}
            Ok(())
        })
        .await
    }

    /// Sends a report of prompts. It is confirmed by a later reply, and sent again until then.
    async fn report_prompts(&mut self, report: PromptReport) -> Result<(), String> {
        self.runs_reported_at = Some(Instant::now());
        within(REPLY_TIMEOUT, async {
            let request = Frame::Gateway(GatewayRequest::PromptRuns(report));
            let sent = self.writer.send(request).await;
            sent.map_err(|error| error.to_string())
        })
        .await
    }

    /// Handles replies for a time.
    async fn read_for(&mut self, time: Duration) -> Result<(), String> {
        let reading = async {
            loop {
                self.read().await?;
            }
        };
        let pause = async {
            Timer::after(time).await;
            Ok(())
        };
        smol::future::or(reading, pause).await
    }

    /// Reads and handles one reply. Returns the number through which it confirms runs.
    async fn read(&mut self) -> Result<Option<u64>, String> {
        let frame = self.reader.next().await;
        let reply = match frame.map_err(|error| error.to_string())? {
            Some(Frame::Control(ControlReply::NotLeader { .. })) => {
                return Err("the replica takes reports only as the leader".to_owned());
            }
            Some(Frame::Control(reply)) => reply,
            Some(_) => return Err("received a frame that is not a reply".to_owned()),
            None => return Err("the replica closed the connection".to_owned()),
        };
        let confirmed = match &reply {
            ControlReply::RunsNoted { through } => Some(*through),
            _ => None,
        };
        self.handler.on_reply(reply);
        Ok(confirmed)
    }
}

/// The outcome of an operation, or an error after this time.
async fn within<T>(
    time: Duration,
    operation: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let timeout = async {
        Timer::after(time).await;
        Err(format!("no answer within {} ms", time.as_millis()))
    };
    smol::future::or(operation, timeout).await
}
