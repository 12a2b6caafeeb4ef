//! `garnet-bench relay`: a gateway beside a relay that only passes on.
//!
//! Both stand on the same loop and libraries, so the difference is what the
//! gateway's own work costs. Rounds alternate, so that both meet the same
//! machine.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use garnet_runtime::RequestBody;
use garnet_runtime::client::build_request;
use garnet_runtime::{Body, HttpClient, HttpServer, Limits, bytes_body, text_response};
use hdrhistogram::Histogram;
use hyper::{Request, Response};
use serde_json::{Value, json};
use smol::LocalExecutor;

use crate::options::Options;

const HELP: &str = "\
Usage: garnet-bench relay --gateway IP:PORT --service NAME --backend IP:PORT [OPTIONS]

  --gateway IP:PORT  gateway to measure
  --service NAME     application service behind it
  --backend IP:PORT  instance of the service that the bare relay passes on to
  --path PATH        path of the requests (default /receipt/1)
  --connections N    requests under way at once (default 32)
  --seconds N        length of one round (default 3)
  --rounds N         rounds of each, one after the other (default 3)
  --json             one JSON object

Exit codes: 0 measured, 1 a request failed, 2 wrong usage.
";

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Latencies are told apart up to this many microseconds.
const LONGEST_US: u64 = 10_000_000;

pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        garnet_runtime::print_out!("{HELP}");
        return Ok(true);
    }
    let gateway = options.needed("gateway")?.to_owned();
    let backend = options.needed("backend")?.to_owned();
    let path = options.text("path").unwrap_or("/receipt/1").to_owned();
    let through_gateway = format!("/services/{}{path}", options.needed("service")?);
    let connections = options.value("connections", 32_usize)?;
    let length = Duration::from_secs(options.value("seconds", 3)?);
    let rounds = options.value("rounds", 3_usize)?;
    options.check_all_asked()?;
    let relay = start_relay(backend)?;
    let mut to_relay = Load::new(relay, path);
    let mut to_gateway = Load::new(gateway, through_gateway);
    for _ in 0..rounds {
        to_relay.round(connections, length);
        to_gateway.round(connections, length);
    }
    let result = json!({
        "connections": connections,
        "relay": to_relay.figures(),
        "gateway": to_gateway.figures(),
    });
    if options.flag("json") {
        garnet_runtime::print_line!("{result}");
    } else {
        garnet_runtime::print_line!("relay={} gateway={}", result["relay"], result["gateway"]);
    }
    Ok(to_relay.failed + to_gateway.failed == 0)
}

/// Starts the bare relay on a thread of its own; gives its address.
fn start_relay(backend: String) -> Result<String, String> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let serving = serve_relay(Rc::clone(&executor), backend, sender);
        smol::block_on(executor.run(serving))
    });
    let address = receiver.recv().map_err(|error| error.to_string())?;
    address.map_err(|error| format!("the relay can't listen: {error}"))
}

async fn serve_relay(
    executor: Rc<LocalExecutor<'static>>,
    backend: String,
    address: mpsc::Sender<std::io::Result<String>>,
) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let bound = HttpServer::bind(any_port, Limits::default()).await;
    let server = match bound {
        Ok(server) => server,
        Err(error) => {
            let _unheard = address.send(Err(error));
            return;
        }
    };
    let _unheard = address.send(server.address().map(|address| address.to_string()));
    let http = HttpClient::new(Rc::clone(&executor));
    let handler = move |request| pass_on(http.clone(), backend.clone(), request);
    server
        .serve(executor, handler, std::future::pending())
        .await;
}

async fn pass_on(
    http: HttpClient,
    backend: String,
    request: Request<RequestBody>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let passed = build_request(request.method().as_str(), &path, "text/plain", Vec::new());
    let Ok(passed) = passed else {
        return text_response(400, "no such request\n");
    };
    match http.send(&backend, passed, PATIENCE).await {
        Ok(response) => response.map(bytes_body),
        Err(_) => text_response(502, "the back end does not answer\n"),
    }
}

/// Requests of one kind and how long they took.
struct Load {
    address: String,
    path: String,
    latencies: Rc<RefCell<Histogram<u64>>>,
    elapsed: Duration,
    failed: u64,
}

impl Load {
    fn new(address: String, path: String) -> Self {
        // The bounds are constants that the library accepts.
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, 3)
            .unwrap_or_else(|_| unreachable!("constant bounds"));
        Load {
            address,
            path,
            latencies: Rc::new(RefCell::new(histogram)),
            elapsed: Duration::ZERO,
            failed: 0,
        }
    }

    /// Keeps `connections` requests under way for a while.
    fn round(&mut self, connections: usize, length: Duration) {
        let executor = Rc::new(LocalExecutor::new());
        let http = HttpClient::new(Rc::clone(&executor));
        let failed = Rc::new(Cell::new(0));
        let began = Instant::now();
        let until = began + length;
        let callers: Vec<_> = (0..connections)
            .map(|_| executor.spawn(self.caller(http.clone(), Rc::clone(&failed), until)))
            .collect();
        smol::block_on(executor.run(async {
            for caller in callers {
                caller.await;
            }
        }));
        self.elapsed += began.elapsed();
        self.failed += failed.get();
    }

    fn caller(
        &self,
        http: HttpClient,
        failed: Rc<Cell<u64>>,
        until: Instant,
    ) -> impl Future<Output = ()> + 'static {
        let (address, path) = (self.address.clone(), self.path.clone());
        let latencies = Rc::clone(&self.latencies);
        async move {
            while Instant::now() < until {
                let sent_at = Instant::now();
                if is_answered(&http, &address, &path).await {
                    let took = sent_at.elapsed().as_micros() as u64;
                    latencies.borrow_mut().saturating_record(took);
                } else {
                    failed.set(failed.get() + 1);
                }
            }
        }
    }

    fn figures(&self) -> Value {
        let latencies = self.latencies.borrow();
        json!({
            "requests_per_s": latencies.len() as f64 / self.elapsed.as_secs_f64(),
            "p50_us": latencies.value_at_quantile(0.5),
            "p99_us": latencies.value_at_quantile(0.99),
            "failed": self.failed,
        })
    }
}

async fn is_answered(http: &HttpClient, address: &str, path: &str) -> bool {
    let Ok(request) = build_request("GET", path, "text/plain", Vec::new()) else {
        return false;
    };
    let sent = http.send(address, request, PATIENCE).await;
    sent.is_ok_and(|response| response.status().is_success())
}
