//! Which connections a pool uses again.

use std::future::Future;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use garnet_runtime::{ConnectionPool, HttpClient, HttpError, PoolSettings, SendConditions};
use garnet_types::ByteCount;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use smol::{LocalExecutor, Timer};

/// Time without a result after which a request is taken to hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts a server that serves each connection with `serve`.
fn start(serve: fn(TcpStream)) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Reads the head of a request and returns the length of its body.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<usize> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            return Some(length);
        }
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
}

fn run<T>(future: impl Future<Output = T>, executor: &LocalExecutor<'_>) -> T {
    let hang = async {
        Timer::after(HANG_TIMEOUT).await;
        panic!("it hangs");
    };
    smol::block_on(executor.run(smol::future::or(future, hang)))
}

fn request(body: Vec<u8>) -> Request<Full<Bytes>> {
    let request = Request::post("/").header("host", "s");
    request
        .body(Full::new(Bytes::from(body)))
        .expect("a request")
}

/// Sends a request, reads its answer and returns the connection. Returns whether it was new.
async fn exchange(pool: &ConnectionPool, address: &str, body: Vec<u8>) -> Result<bool, HttpError> {
    let mut exchange = pool.send(address, request(body)).await?;
    let fresh = exchange.fresh;
    exchange.read_whole(1024).await?;
    exchange.finish();
    Ok(fresh)
}

fn answer_all(stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Some(length) = read_head(&mut reader) {
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err()
            || reader.get_mut().write_all(OK.as_bytes()).is_err()
        {
            return;
        }
    }
}

/// Answers after the head and reads none of the body.
fn answer_early(stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    if read_head(&mut reader).is_some() {
        let _sent = reader.get_mut().write_all(OK.as_bytes());
    }
    thread::park();
}

#[test]
fn a_connection_is_used_again_after_its_answer() {
    let address = start(answer_all);
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let fresh = run(
        async {
            let first = exchange(&pool, &address, vec![0; 100_000]).await;
            let second = exchange(&pool, &address, Vec::new()).await;
            [
                first.expect("the early answer"),
                second.expect("the next answer"),
            ]
        },
        &executor,
    );
    assert_eq!(fresh, [true, false]);
}

/// A connection whose request was answered before it was written whole was returned to the pool.
/// The next request waited there until the server read on, or until its deadline.
#[test]
fn a_connection_whose_request_is_not_written_whole_is_closed() {
    let address = start(answer_early);
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let fresh = run(
        async {
            // More than the buffers of both sockets hold.
            let first = exchange(&pool, &address, vec![0; 32 << 20]).await;
            let second = exchange(&pool, &address, Vec::new()).await;
            [
                first.expect("the early answer"),
                second.expect("the next answer"),
            ]
        },
        &executor,
    );
    assert_eq!(fresh, [true, true]);
}

#[test]
fn a_connection_that_a_request_may_not_use_is_kept_for_others() {
    let address = start(answer_all);
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let fresh = run(
        async {
            let mut first = pool
                .send(&address, request(Vec::new()))
                .await
                .expect("sent");
            let used = first.connection();
            first.read_whole(1024).await.expect("an answer");
            first.finish();
            let conditions = SendConditions {
                max_idle: 8,
                may_send: || true,
                may_reuse: |connection| connection != used,
            };
            let second = pool
                .send_if(&address, request(Vec::new()), conditions)
                .await;
            let second = second.expect("sent");
            let third = pool
                .send(&address, request(Vec::new()))
                .await
                .expect("sent");
            assert_eq!(third.connection(), used);
            [second.fresh, third.fresh]
        },
        &executor,
    );
    assert_eq!(fresh, [true, false]);
}

/// Answers each request twice; the second answer arrives with the next request.
fn answer_twice(stream: TcpStream) {
    static CALLS: AtomicUsize = AtomicUsize::new(1);
    let mut reader = BufReader::new(stream);
    let mut surplus = String::new();
    while let Some(length) = read_head(&mut reader) {
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let number = CALLS.fetch_add(1, Ordering::Relaxed);
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
        let sent = reader
            .get_mut()
            .write_all(format!("{surplus}{answer}").as_bytes());
        if sent.is_err() {
            return;
        }
        surplus = answer;
    }
}

/// A call whose answer names no request was given the answer to the call before it.
#[test]
fn a_call_on_its_own_connection_receives_its_own_answer() {
    let address = start(answer_twice);
    let executor = Rc::new(LocalExecutor::new());
    let client = HttpClient::new(Rc::clone(&executor));
    let bodies = run(
        async {
            let mut bodies = Vec::new();
            for _ in 0..3 {
                let sent = client.send_once(&address, request(Vec::new()), HANG_TIMEOUT);
                bodies.push(sent.await.expect("an answer").into_body());
            }
            bodies
        },
        &executor,
    );
    assert_eq!(bodies, ["1", "2", "3"]);
}

/// An acknowledgement was read up to the longest answer of all.
#[test]
fn an_answer_that_is_longer_than_its_client_takes_is_refused() {
    let address = start(|stream| {
        let mut reader = BufReader::new(stream);
        while read_head(&mut reader).is_some() {
            if reader.get_mut().write_all(OK.as_bytes()).is_err() {
                return;
            }
        }
    });
    let executor = Rc::new(LocalExecutor::new());
    let client = HttpClient::new(Rc::clone(&executor)).with_max_answer(ByteCount(1));
    let sent = client.send(&address, request(Vec::new()), HANG_TIMEOUT);
    let refused = run(sent, &executor);
    assert!(matches!(refused, Err(HttpError::TooLong(1))), "{refused:?}");
}

/// Before the answer to a later request of a connection, answers the one before it again. Answers
/// end with their length, or in chunks, and the two arrive together or one after the other.
fn answer_late(stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut surplus = String::new();
    let mut number = 0;
    while let Some(length) = read_head(&mut reader) {
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        number += 1;
        let answer = match number % 2 {
            0 => format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}"),
            _ => format!(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n{number}\r\n0\r\n\r\n"
            ),
        };
        let writer = reader.get_mut();
        let sent = if length.is_multiple_of(2) {
            writer.write_all(format!("{surplus}{answer}").as_bytes())
        } else {
            let surplus_sent = writer.write_all(surplus.as_bytes());
            thread::sleep(Duration::from_millis(20));
            surplus_sent.and_then(|()| writer.write_all(answer.as_bytes()))
        };
        if sent.is_err() {
            return;
        }
        surplus = answer;
    }
}

/// The answer that followed a surplus answer was lost with its connection.
#[test]
fn the_answer_that_follows_a_skipped_one_is_read() {
    let address = start(answer_late);
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let skip = async |body_len: usize| {
        let first = exchange(&pool, &address, vec![0; body_len]).await?;
        let surplus = pool.send(&address, request(vec![0; body_len])).await?;
        let mut own = surplus.skip(1024, HANG_TIMEOUT).await?;
        let body = own.read_whole(1024).await?;
        own.finish();
        Ok::<_, HttpError>((first, body))
    };
    for body_len in [0, 1, 2, 100_000, 100_001] {
        let (is_new, body) = run(skip(body_len), &executor).expect("an answer");
        assert_eq!(body, "2", "{body_len}");
        // The connection on which an answer was skipped is not used again.
        assert!(is_new, "{body_len}");
    }
}

/// An answer that is longer than the limit is not skipped.
#[test]
fn a_long_answer_is_not_skipped() {
    let address = start(answer_all);
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let skipped = run(
        async {
            let answer = pool.send(&address, request(Vec::new())).await?;
            answer.skip(1, HANG_TIMEOUT).await
        },
        &executor,
    );
    assert!(matches!(skipped, Err(HttpError::TooLong(1))));
}

/// Answers once and closes the connection.
fn answer_and_close(stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    if read_head(&mut reader).is_some() {
        let _sent = reader.get_mut().write_all(OK.as_bytes());
    }
}

/// A request whose answer does not follow the skipped one may have run.
#[test]
fn a_connection_that_ends_after_a_skipped_answer_is_broken() {
    let address = start(answer_and_close);
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let skipped = run(
        async {
            let answer = pool.send(&address, request(Vec::new())).await?;
            answer.skip(1024, HANG_TIMEOUT).await
        },
        &executor,
    );
    assert!(matches!(skipped, Err(HttpError::Broken(_))));
}

/// Number of requests to a server that closes its connections.
const REQUESTS_AT_CLOSING: usize = 2_000;
/// Delays between an answer and the close of its connection are drawn below this number of
/// microseconds, so that some close before, some while and some after the next request is sent.
const MAX_CLOSE_DELAY_US: u64 = 400;

static ARRIVED: Mutex<Vec<usize>> = Mutex::new(Vec::new());

/// Answers one request of each connection, records the number in its path, and closes the
/// connection after a delay. What arrives meanwhile is recorded and not answered.
fn answer_and_close_later(stream: TcpStream) {
    static CONNECTIONS: AtomicU64 = AtomicU64::new(0);
    let connection = CONNECTIONS.fetch_add(1, Ordering::Relaxed);
    let delay = Pcg64::seed_from_u64(connection).random_range(0..MAX_CLOSE_DELAY_US);
    let closed = stream.try_clone().expect("a handle");
    let mut reader = BufReader::new(stream);
    let Some(number) = read_number(&mut reader) else {
        return;
    };
    ARRIVED.lock().expect("no panic").push(number);
    if reader.get_mut().write_all(OK.as_bytes()).is_err() {
        return;
    }
    let closing = thread::spawn(move || {
        thread::sleep(Duration::from_micros(delay));
        let _gone = closed.shutdown(std::net::Shutdown::Both);
    });
    while let Some(number) = read_number(&mut reader) {
        ARRIVED.lock().expect("no panic").push(number);
    }
    closing.join().expect("no panic");
}

/// Reads the head of a request and returns the number in its path.
fn read_number(reader: &mut BufReader<TcpStream>) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let number = line.split(['/', ' ']).find_map(|part| part.parse().ok())?;
    read_head(reader)?;
    Some(number)
}

/// A request would be sent again if a connection that closed as it was written were taken for one
/// on which nothing was sent.
#[test]
fn a_request_arrives_once_at_most_while_connections_close() {
    let address = start(answer_and_close_later);
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let mut unsent = Vec::new();
    for number in 0..REQUESTS_AT_CLOSING {
        let request = Request::get(format!("/{number}")).header("host", "s");
        let request = request.body(Full::default()).expect("a request");
        let sent = run(
            async {
                let mut answer = pool.send(&address, request).await?;
                answer.read_whole(1024).await?;
                answer.finish();
                Ok(())
            },
            &executor,
        );
        if matches!(sent, Err(HttpError::NotSent(_) | HttpError::Withheld)) {
            unsent.push(number);
        }
    }
    let mut arrived = ARRIVED.lock().expect("no panic").clone();
    arrived.sort_unstable();
    let twice: Vec<_> = arrived.windows(2).filter(|two| two[0] == two[1]).collect();
    assert!(twice.is_empty(), "arrived twice: {twice:?}");
    unsent.retain(|number| arrived.contains(number));
    assert!(unsent.is_empty(), "reported as not sent: {unsent:?}");
}

/// Heads that arrived at [`count_heads`].
static HEADS: AtomicUsize = AtomicUsize::new(0);

fn count_heads(stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    while read_head(&mut reader).is_some() {
        HEADS.fetch_add(1, Ordering::Relaxed);
        if reader.get_mut().write_all(OK.as_bytes()).is_err() {
            return;
        }
    }
}

/// Nothing of a request that is withheld arrives, on a new connection or on an idle one.
#[test]
fn a_withheld_request_does_not_arrive() {
    let address = start(count_heads);
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let withhold = async || {
        let conditions = SendConditions {
            max_idle: 1,
            may_send: || false,
            may_reuse: |_| true,
        };
        let sent = pool.send_if(&address, request(Vec::new()), conditions);
        matches!(sent.await, Err(HttpError::Withheld))
    };
    assert!(run(withhold(), &executor));
    assert_eq!(HEADS.load(Ordering::Relaxed), 0);
    // This one uses the connection that was opened, and those after it wait for an answer.
    let fresh = run(exchange(&pool, &address, Vec::new()), &executor);
    assert!(!fresh.expect("an answer"));
    assert!(run(withhold(), &executor));
    let answered = run(exchange(&pool, &address, Vec::new()), &executor);
    assert!(!answered.expect("an answer"));
    assert_eq!(HEADS.load(Ordering::Relaxed), 2);
}

/// Whether the client has closed a connection of [`answer_and_end`].
static IS_CLOSED: AtomicBool = AtomicBool::new(false);

/// Answers one request, ends the connection and waits until the client closes it too.
fn answer_and_end(stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    if read_head(&mut reader).is_some() {
        let _sent = reader.get_mut().write_all(OK.as_bytes());
        let _ended = reader.get_mut().shutdown(std::net::Shutdown::Write);
        let _closed = reader.read(&mut [0]);
        IS_CLOSED.store(true, Ordering::Relaxed);
    }
}

/// An idle connection that its server had ended would keep its descriptor until it expired.
#[test]
fn an_idle_connection_that_its_server_ends_is_closed() {
    let address = start(answer_and_end);
    let executor = Rc::new(LocalExecutor::new());
    let settings = PoolSettings {
        idle_timeout: 2 * HANG_TIMEOUT,
        ..PoolSettings::default()
    };
    let pool = ConnectionPool::new(Rc::clone(&executor), settings);
    let answered = async {
        exchange(&pool, &address, Vec::new()).await?;
        while !IS_CLOSED.load(Ordering::Relaxed) {
            Timer::after(Duration::from_millis(1)).await;
        }
        Ok::<(), HttpError>(())
    };
    run(answered, &executor).expect("an answer");
}

/// Writes the beginning of an answer, and closes the connection or goes on without an end.
fn serve_part(begin: &'static str, more: Option<&'static str>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream);
            if read_head(&mut reader).is_none() {
                continue;
            }
            let stream = reader.get_mut();
            let mut sent = stream.write_all(begin.as_bytes());
            while let (Ok(()), Some(more)) = (&sent, more) {
                sent = stream.write_all(more.repeat(REPEATS).as_bytes());
            }
        }
    });
    address
}

/// Number of times that a part is written at once.
const REPEATS: usize = 1000;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n";

/// A server that ends the connection may have crashed; one that is given up while it sends has not.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nx-long: ", "x")]
#[case::headers("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n")]
#[case::informational_answers(
    "HTTP/1.1 103 Early Hints\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\n"
)]
#[case::chunk_size(CHUNKED, "0")]
#[case::chunk_extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "x")]
#[case::trailers(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x-more: 1\r\n"
)]
fn a_connection_that_ends_differs_from_one_that_is_given_up(
    #[case] begin: &'static str,
    #[case] more: &'static str,
) {
    let executor = Rc::new(LocalExecutor::new());
    let pool = ConnectionPool::new(Rc::clone(&executor), PoolSettings::default());
    let receive = |address: String| {
        let receiving = async { exchange(&pool, &address, Vec::new()).await };
        run(receiving, &executor)
    };
    let ended = receive(serve_part(begin, None));
    assert!(matches!(ended, Err(HttpError::Broken(_))), "{ended:?}");
    let given_up = receive(serve_part(begin, Some(more)));
    assert!(
        matches!(given_up, Err(HttpError::NoAnswer(_))),
        "{given_up:?}"
    );
}
