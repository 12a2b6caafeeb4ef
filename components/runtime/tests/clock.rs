//! The clock of a process, and the timers and timeouts that depend on it.

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

/// Guards against clocks that stop while the machine is suspended, possibly for
/// seconds, as the monotonic clock does. A leader with such a clock still took its lease for
/// valid when it resumed, so that two replicas held a lease at once (`OneLease`,
/// in virtual time). Its clock also stayed behind the time of day, on which
/// claims and usage windows are based.
#[test]
fn processes_use_a_clock_that_counts_suspended_time() {
    assert!(matches!(Clock::default().source(), TimeSource::BootTime));
}

/// The test's time, including suspensions.
static COUNTED_MS: AtomicU64 = AtomicU64::new(0);

fn time_with_suspensions() -> Duration {
    Duration::from_millis(COUNTED_MS.load(Ordering::SeqCst))
}

fn stopped_time() -> Duration {
    Duration::ZERO
}

/// Simulates a suspension of the machine.
fn suspend_for(time: Duration) {
    COUNTED_MS.fetch_add(time.as_millis() as u64, Ordering::SeqCst);
}

/// The monotonic timer alone would fire after an hour of running time.
#[test]
fn a_timer_that_expired_during_a_suspension_fires_at_once() {
    let clock = Clock::new(TimeSource::Custom(time_with_suspensions));
    let timers = Timers::with_monotonic(clock, TimeSource::Custom(stopped_time));
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

static POOL_CLOCK_MS: AtomicU64 = AtomicU64::new(0);

fn pool_clock() -> Duration {
    Duration::from_millis(POOL_CLOCK_MS.load(Ordering::SeqCst))
}

/// Starts a server that answers requests and keeps its connections open.
fn start_server() -> String {
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

/// The server closed the connection long ago, and a request that fails on it may
/// have been executed.
#[test]
fn a_connection_idle_during_a_suspension_is_not_reused() {
    let address = start_server();
    let executor = Rc::new(LocalExecutor::new());
    let clock = Clock::new(TimeSource::Custom(pool_clock));
    let pool = ConnectionPool::with_clock(Rc::clone(&executor), PoolSettings::default(), clock);
    let uses_new_connection = async || {
        let request = get_request("/");
        let mut exchange = pool.send(&address, request).await.expect("an answer");
        exchange.read_whole(10).await.expect("its body");
        let fresh = exchange.fresh;
        exchange.finish();
        fresh
    };
    smol::block_on(executor.run(async {
        assert!(uses_new_connection().await);
        assert!(!uses_new_connection().await);
        POOL_CLOCK_MS.fetch_add(10_000, Ordering::SeqCst);
        assert!(uses_new_connection().await);
    }));
}
