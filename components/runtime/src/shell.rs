//! A process: one event loop, one supervisor tree, one planned stop.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock::Clock;
use crate::request_body::RequestBody;
use crate::server::{Body, HttpServer, Limits, json_response, read_body};
use crate::signal::WatchedSignals;
use garnet_supervisor::{
    ChildError, ChildSpec, Intensity, Restart, StopSignal, Strategy, Supervisor, stop_channel,
};
use hyper::{Request, Response};
use serde::de::DeserializeOwned;
use smol::LocalExecutor;

/// The event loop of the process and its clock.
#[derive(Clone)]
pub struct Shell {
    /// The event loop.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The clock.
    pub clock: Clock,
    /// Watches for signals from the start of the process; taken by [`Shell::run`].
    signals: Rc<RefCell<Option<WatchedSignals>>>,
}

impl Default for Shell {
    fn default() -> Self {
        Shell::new()
    }
}

impl Shell {
    /// Creates an event loop and starts to watch for signals. Call it before
    /// anything that may take long, so that no signal is lost.
    pub fn new() -> Self {
        let signals = WatchedSignals::watch();
        if let Err(error) = &signals {
            log::error!(cause = error.to_string().as_str(); "signals_unwatched");
        }
        Shell {
            executor: Rc::new(LocalExecutor::new()),
            clock: Clock::default(),
            signals: Rc::new(RefCell::new(signals.ok())),
        }
    }

    /// Whether a planned stop was requested before the event loop runs.
    pub fn stop_was_requested(&self) -> bool {
        let mut signals = self.signals.borrow_mut();
        signals
            .as_mut()
            .is_some_and(WatchedSignals::stop_was_requested)
    }

    /// Runs `children` under one supervisor until a planned stop. `drain` is
    /// awaited before they are stopped.
    ///
    /// # Errors
    /// When a child fails too often.
    pub fn run(
        &self,
        children: Vec<ChildSpec>,
        drain: impl Future<Output = ()> + 'static,
    ) -> io::Result<()> {
        let (stop, signal) = stop_channel();
        let mut supervisor = Supervisor::new(
            Rc::clone(&self.executor),
            Strategy::OneForOne,
            Intensity::default(),
        );
        for child in children {
            supervisor = supervisor.child(child);
        }
        let signals = self.signals.take();
        let waiter = self.executor.spawn(async move {
            match signals {
                Some(mut signals) => signals.stop_requested().await,
                // Signals can't be watched, so no stop can be requested.
                None => std::future::pending().await,
            }
            drain.await;
            stop.stop();
        });
        let outcome = smol::block_on(self.executor.run(supervisor.run(signal)));
        drop(waiter);
        outcome.map_err(io::Error::other)
    }

    /// A child that serves HTTP. The server is already bound, so that a port in
    /// use is detected at start-up.
    pub fn http_child<H, F>(&self, server: Rc<HttpServer>, handler: H) -> ChildSpec
    where
        H: Fn(Request<RequestBody>) -> F + Clone + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let executor = Rc::clone(&self.executor);
        ChildSpec::new("http", Restart::Permanent, move |stop: StopSignal| {
            let server = Rc::clone(&server);
            let executor = Rc::clone(&executor);
            let handler = handler.clone();
            async move {
                server
                    .serve(executor, handler, async move { stop.stopped().await })
                    .await;
                Ok::<(), ChildError>(())
            }
        })
    }
}

/// Binds a server and logs its address.
///
/// # Errors
/// When the address can't be bound, such as a port that is in use.
pub fn bind(listen: SocketAddr) -> io::Result<(Rc<HttpServer>, String)> {
    let server = smol::block_on(HttpServer::bind(listen, Limits::default()))?;
    let address = server.address()?.to_string();
    log::info!(address = address.as_str(); "listening");
    Ok((Rc::new(server), address))
}

/// Reads a JSON body.
///
/// # Errors
/// A response that describes what is wrong with the body.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<RequestBody>,
) -> Result<T, Response<Body>> {
    let limits = Limits::default();
    let bytes = read_body(request.into_body(), &limits)
        .await
        .map_err(|error| invalid(&format!("{error:?}")))?;
    serde_json::from_slice(&bytes).map_err(|error| invalid(&error.to_string()))
}

fn invalid(message: &str) -> Response<Body> {
    let body = serde_json::json!({"code": "invalid", "message": message});
    json_response(400, &body)
}
