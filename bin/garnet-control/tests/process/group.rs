//! Three replicas at an address of their own, and their operator.

use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use garnet_test_support::ReservedAddress;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_garnet-control");
const REPLICAS: usize = 3;
/// A group that does nothing for so long hangs: no verdict on its speed.
const HANGS: Duration = Duration::from_secs(120);
/// A replica that is stopped answers nothing.
const PATIENCE: Duration = Duration::from_secs(2);

/// The group.
pub struct Group {
    folder: TempDir,
    peer: Vec<String>,
    admin: Vec<String>,
    children: Vec<Option<Child>>,
    _address: ReservedAddress,
}

impl Group {
    /// Starts three replicas for the first time.
    pub fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mut address = ReservedAddress::reserve();
        let mut sockets = || {
            (0..REPLICAS)
                .map(|_| address.socket().to_string())
                .collect()
        };
        let peer: Vec<String> = sockets();
        let admin: Vec<String> = sockets();
        let members: String = (0..REPLICAS)
            .map(|place| {
                let (peer, admin) = (&peer[place], &admin[place]);
                format!(
                    "[[member]]\nid = {}\npeer = \"{peer}\"\nadmin = \"{admin}\"\n",
                    place + 1
                )
            })
            .collect();
        for place in 0..REPLICAS {
            let data = folder.path().join(format!("data-{place}"));
            let text = format!(
                "name = \"control-{place}\"\ninitial_id = {}\ndata = \"{}\"\n\
                 peer_listen = \"{}\"\nadmin_listen = \"{}\"\nsnapshot_every = 50\n{members}",
                place + 1,
                data.display(),
                peer[place],
                admin[place],
            );
            let file = folder.path().join(format!("settings-{place}.toml"));
            std::fs::write(file, text).expect("written");
        }
        let mut group = Group {
            folder,
            peer,
            admin,
            children: (0..REPLICAS).map(|_| None).collect(),
            _address: address,
        };
        for place in 0..REPLICAS {
            group.start_replica(place, &["--bootstrap"]);
        }
        group
    }

    /// Starts one replica from what its disk holds.
    pub fn restart(&mut self, place: usize) {
        self.start_replica(place, &[]);
    }

    /// Ends one replica at once.
    pub fn kill(&mut self, place: usize) {
        if let Some(mut child) = self.children[place].take() {
            child.kill().expect("it runs");
            child.wait().expect("it ended");
        }
    }

    /// Stops one replica in place, or lets it go on with its old belief.
    pub fn signal(&self, place: usize, signal: Signal) {
        let child = self.children[place].as_ref().expect("it runs");
        let pid = Pid::from_raw(child.id() as i32).expect("a process number");
        kill_process(pid, signal).expect("it runs");
    }

    /// Where operators reach a replica.
    pub fn admin_address(&self, place: usize) -> &str {
        &self.admin[place]
    }

    /// The place of the replica that leads under its lease.
    pub fn leader(&self) -> usize {
        self.until(|| {
            (0..REPLICAS).find(|place| {
                let status = self.request(*place, "GET", "status", "");
                status.is_some_and(|status| status.contains("\"holds_lease\":true"))
            })
        })
    }

    /// Creates a session and returns when it is accepted. Sent again with the
    /// same command id until then, as an operator does.
    pub fn create_session(&self, name: &str) {
        let body = "{\"tenant\": \"t\", \"service\": \"s\", \"model\": \"m\"}";
        self.until(|| {
            (0..REPLICAS).find(|place| {
                let path = format!("sessions/{name}");
                let answer = self.request(*place, "PUT", &path, body);
                answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
            })
        });
    }

    /// What the leader answers to one request.
    fn ask_leader(&self, method: &str, path: &str, body: &str) -> String {
        self.until(|| self.request(self.leader(), method, path, body))
    }

    /// What the leader decides: on a busy machine the lead may change, and an
    /// operator then asks again.
    pub fn ask_until_decided(&self, method: &str, path: &str, body: &str) -> String {
        let undecided = ["HTTP/1.1 421", "HTTP/1.1 503", "HTTP/1.1 504"];
        self.until(|| {
            let answer = self.ask_leader(method, path, body);
            let decided = !undecided.iter().any(|head| answer.starts_with(head));
            decided.then_some(answer)
        })
    }

    /// What a replica answers to one request.
    pub fn ask(&self, place: usize, method: &str, path: &str, body: &str) -> String {
        self.until(|| self.request(place, method, path, body))
    }

    /// Sends bytes to a replica's port for replicas and gateways.
    pub fn send_to_peer_port(&self, place: usize, bytes: &[u8]) {
        let mut stream = TcpStream::connect(&self.peer[place]).expect("it listens");
        // The replica may close before it has read everything.
        let _cut = stream.write_all(bytes);
        let _closed = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        let _reset = stream.read_to_end(&mut answer);
    }

    /// Runs a replica's program to its end; gives its exit code and its errors.
    pub fn run_to_end(&self, place: usize, arguments: &[&str]) -> (Option<i32>, String) {
        let output = Command::new(PROGRAM)
            .arg("--settings")
            .arg(self.settings(place))
            .args(arguments)
            .output()
            .expect("the program starts");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code(), text)
    }

    /// The data folder of a replica.
    pub fn data_folder(&self, place: usize) -> PathBuf {
        self.folder.path().join(format!("data-{place}"))
    }

    /// The configuration as the leader knows it.
    pub fn configuration(&self) -> String {
        self.until(|| {
            (0..REPLICAS).find_map(|place| {
                self.request(place, "GET", "configuration", "")
                    .filter(|answer| answer.starts_with("HTTP/1.1 200"))
            })
        })
    }

    fn start_replica(&mut self, place: usize, arguments: &[&str]) {
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(self.settings(place))
            .args(arguments)
            .stdout(self.log_of(place))
            .stderr(self.log_of(place))
            .spawn()
            .expect("the program starts");
        self.children[place] = Some(child);
    }

    fn log_path(&self, place: usize) -> PathBuf {
        self.folder.path().join(format!("log-{place}"))
    }

    /// The log of a replica, to be written on at its end.
    fn log_of(&self, place: usize) -> Stdio {
        let mut options = OpenOptions::new();
        let log = options.create(true).append(true).open(self.log_path(place));
        Stdio::from(log.expect("a log"))
    }

    /// What the replicas wrote, for a failure to be explained.
    fn logs(&self) -> String {
        let log = |place| {
            let text = std::fs::read_to_string(self.log_path(place)).unwrap_or_default();
            format!("== replica {place}\n{text}")
        };
        (0..REPLICAS).map(log).collect()
    }

    fn settings(&self, place: usize) -> PathBuf {
        self.folder.path().join(format!("settings-{place}.toml"))
    }

    fn until<T>(&self, mut attempt: impl FnMut() -> Option<T>) -> T {
        let began = Instant::now();
        loop {
            if let Some(value) = attempt() {
                return value;
            }
            assert!(began.elapsed() < HANGS, "the group hangs\n{}", self.logs());
            std::thread::yield_now();
        }
    }

    /// One request to a replica; `None` when it does not answer.
    fn request(&self, place: usize, method: &str, path: &str, body: &str) -> Option<String> {
        let address = self.admin[place].parse().ok()?;
        let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        let length = body.len();
        let head = format!(
            "{method} /admin/v1/{path} HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\
             garnet-command-id: {path}\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for place in 0..REPLICAS {
            self.kill(place);
        }
    }
}
