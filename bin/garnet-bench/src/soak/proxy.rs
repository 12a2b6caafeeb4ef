//! A relay on loopback that misbehaves as it is told.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use garnet_runtime::Shared;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

/// How often a relay that holds bytes looks whether it still should.
const LOOK_AGAIN: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 16 * 1024;

/// What a relay does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkMode {
    /// Passes them on.
    Pass,
    /// Passes them on this much later.
    Delay(Duration),
    /// Closes every connection.
    Reset,
    /// Holds all.
    Silence,
    /// Holds those towards the target.
    OneWay,
}

/// A relay before one address.
#[derive(Clone)]
pub(super) struct Link {
    pub(super) mode: Shared<LinkMode>,
}

impl Link {
    /// Listens at `listen` and passes on to `target`.
    pub(super) async fn start(
        executor: &Rc<LocalExecutor<'static>>,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let mode = Shared::new(LinkMode::Pass);
        let link = Link { mode: mode.clone() };
        let spawner = Rc::clone(executor);
        let accepting = async move {
            while let Ok((caller, _)) = listener.accept().await {
                let relaying = relay(caller, target, mode.clone());
                spawner.spawn(relaying).detach();
            }
        };
        executor.spawn(accepting).detach();
        Ok(link)
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, mode: Shared<LinkMode>) {
    let Ok(called) = TcpStream::connect(target).await else {
        return;
    };
    let there = copy(caller.clone(), called.clone(), mode.clone(), true);
    let back = copy(called, caller, mode, false);
    // Both halves end when one does, which closes both connections.
    smol::future::or(there, back).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, mode: Shared<LinkMode>, towards: bool) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let reading = async { from.read(&mut buffer).await.ok() };
        let Some(count) = smol::future::or(reading, reset(&mode)).await else {
            return;
        };
        if count == 0 || !held_back(&mode, towards).await {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn reset(mode: &Shared<LinkMode>) -> Option<usize> {
    while mode.current() != LinkMode::Reset {
        Timer::after(LOOK_AGAIN).await;
    }
    None
}

/// Waits as long as the bytes are held; `false` when they are dropped.
async fn held_back(mode: &Shared<LinkMode>, towards: bool) -> bool {
    if let LinkMode::Delay(delay) = mode.current() {
        Timer::after(delay).await;
    }
    loop {
        match mode.current() {
            LinkMode::Reset => return false,
            LinkMode::Silence => {}
            LinkMode::OneWay if towards => {}
            _ => return true,
        }
        Timer::after(LOOK_AGAIN).await;
    }
}
