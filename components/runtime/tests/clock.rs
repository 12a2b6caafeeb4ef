//! The clock of a process, and what goes by it.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use garnet_runtime::client::get_request;
use garnet_runtime::{Clock, ConnectionPool, PoolSettings, TimeSource, Timers};
use garnet_types::Millis;
use smol::LocalExecutor;

/// A machine may be suspended for seconds. The steady clock stands still then,
/// and the time of day goes on. A leader that went by the steady clock took its
/// lease for valid when it woke, and two replicas held a lease at once
/// (`OneLease`, in virtual time); it also lagged behind the time of day for
/// ever, by which claims and windows of usage are told.
#[test]
fn processes_go_by_a_clock_that_counts_suspended_time() {
    assert!(matches!(Clock::default().source(), TimeSource::BootTime));
}

/// What a test says that the clock of a suspended machine shows.
static COUNTED_MS: AtomicU64 = AtomicU64::new(0);

fn counted() -> Duration {
    Duration::from_millis(COUNTED_MS.load(Ordering::SeqCst))
}

fn stands_still() -> Duration {
    Duration::ZERO
}

/// A machine that was suspended for so long.
fn suspend_for(time: Duration) {
    COUNTED_MS.fetch_add(time.as_millis() as u64, Ordering::SeqCst);
}

/// The steady timer would fire in an hour.
#[test]
fn what_is_due_when_the_machine_wakes_is_not_waited_for() {
    let clock = Clock::new(TimeSource::Custom(counted));
    let timers = Timers::with_monotonic(clock, TimeSource::Custom(stands_still));
    let due = clock.now() + Millis::from_secs(3600);
    smol::block_on(async {
        let mut waits = pin!(timers.sleep_until(due));
        assert!(smol::future::poll_once(waits.as_mut()).await.is_none());
        assert_eq!(timers.check_suspension(), None);
        assert!(smol::future::poll_once(waits.as_mut()).await.is_none());
        suspend_for(Duration::from_secs(1800));
        assert_eq!(timers.check_suspension(), Some(Duration::from_secs(1800)));
        assert!(smol::future::poll_once(waits.as_mut()).await.is_none());
        suspend_for(Duration::from_secs(1800));
        assert_eq!(timers.check_suspension(), Some(Duration::from_secs(1800)));
        assert!(smol::future::poll_once(waits.as_mut()).await.is_some());
    });
}

static KEPT_MS: AtomicU64 = AtomicU64::new(0);

fn kept() -> Duration {
    Duration::from_millis(KEPT_MS.load(Ordering::SeqCst))
}

/// Answers requests on each connection and keeps it.
fn keeps_connections() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut bytes = [0; 1024];
                while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(answer).expect("written");
                }
            });
        }
    });
    address
}

/// The other end has closed it long ago, and what is sent on it may have run.
#[test]
fn a_connection_that_rested_through_a_suspension_is_not_used() {
    let address = keeps_connections();
    let executor = Rc::new(LocalExecutor::new());
    let clock = Clock::new(TimeSource::Custom(kept));
    let pool = ConnectionPool::with_clock(Rc::clone(&executor), PoolSettings::default(), clock);
    let asks_anew = async || {
        let request = get_request("/");
        let mut exchange = pool.send(&address, request).await.expect("an answer");
        exchange.read_whole(10).await.expect("its body");
        let fresh = exchange.fresh;
        exchange.finish();
        fresh
    };
    smol::block_on(executor.run(async {
        assert!(asks_anew().await);
        assert!(!asks_anew().await);
        KEPT_MS.fetch_add(10_000, Ordering::SeqCst);
        assert!(asks_anew().await);
    }));
}
