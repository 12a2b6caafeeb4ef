//! Gateways report ended runs to the first replica that takes them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use garnet_control::{ControlReply, GatewayRequest};
use garnet_quarantine::{EndedRun, RequestIdentity, RunEnd, RunReport};
use garnet_runtime::frames::{self, FrameReader, FrameWriter};
use garnet_runtime::report_link::{self, ReportLinkHandler};
use garnet_supervisor::{Intensity, Strategy, Supervisor, stop_channel};
use garnet_types::{GatewayId, Millis};
use garnet_wire::Frame;
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};

/// Far longer than any limit of the connection.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Longer than a connection to another replica than the first lasts.
const LONGER_THAN_AT_LATER_REPLICA: Duration = Duration::from_secs(3);

/// A gateway's side of the connection, with one run to report.
#[derive(Clone, Default)]
struct Handler(Rc<State>);

#[derive(Default)]
struct State {
    replicas: RefCell<Vec<String>>,
    connections: Cell<u64>,
    run_confirmed: Cell<bool>,
}

fn report() -> RunReport {
    let identity = RequestIdentity {
        tenant: None,
        method: "POST",
        host: "shop.example",
        path: "/bad",
        query: None,
        body: b"p",
    };
    let run = EndedRun {
        fingerprint: identity.fingerprint(),
        end: RunEnd::Completed,
        ago: Millis::ZERO,
    };
    RunReport {
        runs: vec![run],
        through: 7,
    }
}

impl ReportLinkHandler for Handler {
    fn replicas(&self) -> Vec<String> {
        self.0.replicas.borrow().clone()
    }

    fn on_connected(&self) {
        self.0.connections.set(self.0.connections.get() + 1);
        self.0.run_confirmed.set(false);
    }

    fn next_report(&self) -> RunReport {
        if self.0.run_confirmed.get() {
            RunReport::default()
        } else {
            report()
        }
    }

    fn on_reply(&self, reply: ControlReply) {
        if reply == (ControlReply::RunsNoted { through: 7 }) {
            self.0.run_confirmed.set(true);
        }
    }
}

/// A replica whose replies the test chooses.
struct Replica {
    listener: TcpListener,
}

impl Replica {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Replica { listener }
    }

    fn address(&self) -> String {
        self.listener.local_addr().expect("an address").to_string()
    }

    async fn accept(&self) -> Connection {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        let (mut reader, mut writer) = frames::split(stream);
        let accepted = reader.accept().await.expect("a hello");
        writer.welcome(&accepted).await.expect("an open connection");
        Connection { reader, writer }
    }

    /// Closes a connection without an answer to its hello, as earlier versions do.
    async fn refuse(&self) {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        drop(stream);
    }
}

struct Connection {
    reader: FrameReader,
    writer: FrameWriter,
}

impl Connection {
    /// The next report; `None` at the end of the connection.
    async fn receive(&mut self) -> Option<RunReport> {
        match self.reader.next().await {
            Ok(Some(Frame::Gateway(GatewayRequest::Runs(report)))) => Some(report),
            Ok(None) | Err(_) => None,
            Ok(other) => panic!("received {other:?}"),
        }
    }

    async fn reply(&mut self, reply: ControlReply) {
        let sent = self.writer.send(Frame::Control(reply)).await;
        sent.expect("an open connection");
    }

    /// Receives a report and confirms it.
    async fn take(&mut self) -> Option<RunReport> {
        let report = self.receive().await?;
        let through = report.through;
        // The gateway may close the connection meanwhile.
        let _closed = self
            .writer
            .send(Frame::Control(ControlReply::RunsNoted { through }))
            .await;
        Some(report)
    }
}

fn not_leader() -> ControlReply {
    ControlReply::NotLeader {
        leader: None,
        last_known: None,
    }
}

/// Runs the link while `test` runs.
fn with_link(handler: &Handler, test: impl Future<Output = ()>) {
    let executor = Rc::new(LocalExecutor::new());
    let spec = report_link::child(handler.clone(), GatewayId::new("gateway-1"));
    let (_stop, signal) = stop_channel();
    let supervisor = Supervisor::new(
        Rc::clone(&executor),
        Strategy::OneForOne,
        Intensity::default(),
    );
    let running = async {
        let ended = supervisor.child(spec).run(signal).await;
        panic!("the link ended: {ended:?}");
    };
    let timeout = async {
        Timer::after(HANG_TIMEOUT).await;
        panic!("timed out");
    };
    let all = smol::future::or(test, smol::future::or(running, timeout));
    smol::block_on(executor.run(all));
}

async fn wait_until(is_reached: impl Fn() -> bool) {
    while !is_reached() {
        Timer::after(Duration::from_millis(5)).await;
    }
}

#[test]
fn an_empty_report_precedes_the_runs() {
    let handler = Handler::default();
    with_link(&handler, async {
        let replica = Replica::start().await;
        *handler.0.replicas.borrow_mut() = vec![replica.address()];
        let mut connection = replica.accept().await;
        assert_eq!(connection.take().await, Some(RunReport::default()));
        assert_eq!(connection.take().await, Some(report()));
        wait_until(|| handler.0.run_confirmed.get()).await;
        // Empty reports ask for the suspects.
        assert_eq!(connection.take().await, Some(RunReport::default()));
    });
}

/// A replica of an earlier build of the same version answers as any replica that does not lead.
#[test]
fn replicas_that_take_no_reports_are_skipped() {
    let handler = Handler::default();
    with_link(&handler, async {
        let refusing = Replica::start().await;
        let earlier = Replica::start().await;
        let present = Replica::start().await;
        let replicas = [&refusing, &earlier, &present].map(Replica::address);
        *handler.0.replicas.borrow_mut() = replicas.to_vec();
        refusing.refuse().await;
        let mut connection = earlier.accept().await;
        assert_eq!(connection.receive().await, Some(RunReport::default()));
        connection.reply(not_leader()).await;
        assert_eq!(connection.receive().await, None);
        assert_eq!(handler.0.connections.get(), 0);
        let mut connection = present.accept().await;
        assert_eq!(connection.take().await, Some(RunReport::default()));
        assert_eq!(connection.take().await, Some(report()));
        assert_eq!(handler.0.connections.get(), 1);
    });
}

/// Reports that are divided among replicas would not add up to a verdict.
#[test]
fn the_first_replica_receives_all_runs_once_it_takes_reports() {
    let handler = Handler::default();
    with_link(&handler, async {
        let first = Replica::start().await;
        let second = Replica::start().await;
        *handler.0.replicas.borrow_mut() = vec![first.address(), second.address()];
        first.refuse().await;
        let mut connection = second.accept().await;
        while connection.take().await.is_some() {}
        assert!(handler.0.run_confirmed.get());
        let mut connection = first.accept().await;
        assert_eq!(connection.take().await, Some(RunReport::default()));
        assert_eq!(connection.take().await, Some(report()));
        let stays = async {
            let began = Instant::now();
            while began.elapsed() < LONGER_THAN_AT_LATER_REPLICA {
                assert!(connection.take().await.is_some(), "it was closed");
            }
        };
        let leaves = async {
            second.accept().await;
            panic!("another replica was tried");
        };
        smol::future::or(stays, leaves).await;
    });
}

#[test]
fn a_connection_on_which_a_report_is_not_answered_is_closed() {
    let handler = Handler::default();
    with_link(&handler, async {
        let replica = Replica::start().await;
        *handler.0.replicas.borrow_mut() = vec![replica.address()];
        let mut connection = replica.accept().await;
        assert_eq!(connection.take().await, Some(RunReport::default()));
        assert_eq!(connection.receive().await, Some(report()));
        assert_eq!(connection.receive().await, None);
        let mut connection = replica.accept().await;
        assert_eq!(connection.take().await, Some(RunReport::default()));
        assert_eq!(connection.take().await, Some(report()));
    });
}

#[test]
fn the_connection_is_closed_when_the_leader_takes_the_reports() {
    let handler = Handler::default();
    with_link(&handler, async {
        let replica = Replica::start().await;
        *handler.0.replicas.borrow_mut() = vec![replica.address()];
        let mut connection = replica.accept().await;
        assert_eq!(connection.take().await, Some(RunReport::default()));
        handler.0.replicas.borrow_mut().clear();
        while connection.take().await.is_some() {}
    });
}
