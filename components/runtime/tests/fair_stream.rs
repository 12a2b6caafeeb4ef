//! Streams whose peers send without end take turns with each other and with other tasks.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use garnet_runtime::FairStream;
use garnet_runtime::fair_stream::MAX_BYTES_PER_TURN;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

const STREAMS: usize = 8;
const ROUND_TRIPS: usize = 50;

/// Always has bytes to read.
struct Endless;

impl AsyncRead for Endless {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        buffer.fill(b'x');
        Poll::Ready(Ok(buffer.len()))
    }
}

/// Reads until the stream is pending, and returns the number of bytes.
async fn read_turn(stream: &mut FairStream<Endless>) -> usize {
    let mut bytes = 0;
    let mut buffer = [0; 10_000];
    while let Some(read) = smol::future::poll_once(stream.read(&mut buffer)).await {
        bytes += read.expect("no error");
    }
    bytes
}

#[test]
fn a_stream_reads_one_turn_at_a_time() {
    smol::block_on(async {
        let mut stream = FairStream::new(Endless);
        assert_eq!(read_turn(&mut stream).await, MAX_BYTES_PER_TURN);
        // Another turn begins when the reactor is polled, which another thread may do.
        for _ in 0..10 {
            let bytes = read_turn(&mut stream).await;
            assert!([0, MAX_BYTES_PER_TURN].contains(&bytes), "{bytes}");
        }
        let mut buffer = vec![0; 2 * MAX_BYTES_PER_TURN];
        let bytes = stream.read(&mut buffer).await.expect("bytes");
        assert_eq!(bytes, MAX_BYTES_PER_TURN);
    });
}

/// Without turns, the timer and the other connection would wait for ever.
#[test]
fn timers_and_other_connections_make_progress() {
    let executor = Rc::new(LocalExecutor::new());
    for _ in 0..STREAMS {
        let reading = async {
            let mut stream = FairStream::new(Endless);
            let mut buffer = [0; 10_000];
            while stream.read(&mut buffer).await.is_ok() {}
        };
        executor.spawn(reading).detach();
    }
    let round_trips = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut near = TcpStream::connect(address).await.expect("a connection");
        let (mut far, _) = listener.accept().await.expect("a connection");
        for _ in 0..ROUND_TRIPS {
            near.write_all(b"ping").await.expect("written");
            far.read_exact(&mut [0; 4]).await.expect("read");
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    smol::block_on(executor.run(round_trips));
}

#[test]
fn streams_take_turns_in_order() {
    let executor = Rc::new(LocalExecutor::new());
    let order = Rc::new(RefCell::new(Vec::new()));
    for number in 0..STREAMS {
        let order = Rc::clone(&order);
        let reading = async move {
            let mut stream = FairStream::new(Endless);
            let mut buffer = vec![0; MAX_BYTES_PER_TURN];
            while stream.read(&mut buffer).await.is_ok() {
                order.borrow_mut().push(number);
            }
        };
        executor.spawn(reading).detach();
    }
    let enough = async {
        while order.borrow().len() < 10 * STREAMS {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    smol::block_on(executor.run(enough));
    let order = order.borrow();
    let counts = (0..STREAMS).map(|number| order.iter().filter(|n| **n == number).count());
    let counts: Vec<usize> = counts.collect();
    assert!(counts.iter().all(|count| *count >= 5), "{counts:?}");
}

/// A stream that is granted a turn and then no longer read blocks no other one.
#[test]
fn a_stream_that_is_no_longer_read_holds_no_turn() {
    let executor = Rc::new(LocalExecutor::new());
    let mut abandoned: Vec<_> = (0..STREAMS).map(|_| FairStream::new(Endless)).collect();
    let turns = Rc::new(Cell::new(0));
    let reading = async {
        for stream in &mut abandoned {
            read_turn(stream).await;
        }
        let mut stream = FairStream::new(Endless);
        while turns.get() < 10 {
            turns.set(turns.get() + read_turn(&mut stream).await / MAX_BYTES_PER_TURN);
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    smol::block_on(executor.run(reading));
    assert_eq!(turns.get(), 10);
}
