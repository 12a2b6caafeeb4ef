//! What the review's cases share: the programs under test as processes, the platform's list, the
//! operator, a small HTTP/1.1 reader and writer, and the record.
//!
//! Standard library only. All addresses are loopback addresses.

pub mod application;

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit code: the rule held.
pub const HELD: i32 = 0;
/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the case could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is to be made; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of pseudo-random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
        for _ in 0..8 {
            random.next();
        }
        random
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number in 0..1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.share()
    }
}

/// The seed of a run: `SEED`, or 1.
pub fn seed() -> u64 {
    std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// The record of what was sent, answered and run, with times in ms.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Writes to the file that `RECORD` names.
    pub fn open() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|error| could_not_run(&format!("{path}: {error}")));
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        let _written = self.file.lock().expect("no panic").write_all(line.as_bytes());
    }

    /// A line that is printed as well.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Ids of the processes that were started and may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case because it can't run, with all processes that it started.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    for id in STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).iter() {
        let _sent = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    std::process::exit(COULD_NOT_RUN);
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` if the connection ends before.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((key, value)) = line.split_once(':') {
            head.headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length or its chunks; `None` if it is incomplete.
pub fn read_body(reader: &mut impl BufRead, head: &Head, until_close: bool) -> Option<Vec<u8>> {
    let chunked = head.get("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
    if chunked {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            if size == 0 {
                loop {
                    let mut trailer = String::new();
                    if reader.read_line(&mut trailer).ok()? == 0 {
                        return None;
                    }
                    if trailer.trim().is_empty() {
                        return Some(body);
                    }
                }
            }
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = head.get("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    let mut body = Vec::new();
    if until_close {
        reader.read_to_end(&mut body).ok()?;
    }
    Some(body)
}

/// One exchange on a connection of its own.
pub fn exchange(address: &str, request: &str, timeout: Duration) -> Option<(Head, Vec<u8>)> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _unset = stream.set_nodelay(true);
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let body = read_body(&mut reader, &head, true)?;
    Some((head, body))
}

/// Whether the peer has closed the connection. Nothing is read.
pub fn peer_has_closed(stream: &TcpStream) -> bool {
    let _set = stream.set_nonblocking(true);
    let mut byte = [0];
    let closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _set = stream.set_nonblocking(false);
    closed
}

// ---------------------------------------------------------------------------------------------
// The platform

/// One entry of the platform's list.
#[derive(Debug, Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: u32,
    pub state: String,
    /// The stage of a language-model engine.
    pub stage: Option<String>,
}

impl Listed {
    fn json(&self) -> String {
        let stage = self.stage.as_ref().map_or(String::new(), |stage| {
            format!("\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],")
        });
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{}\",\"cold-remaining-ms\":0,{stage}\"id\":\"{}\"}}",
            self.service, self.address, self.zone, self.slots, self.state, self.id
        )
    }
}

/// The platform's list of engines.
#[derive(Clone)]
pub struct Platform {
    pub address: String,
    pub list: Arc<Mutex<Vec<Listed>>>,
}

impl Platform {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| could_not_run(&e.to_string()));
        let address = listener.local_addr().expect("an address").to_string();
        let list: Arc<Mutex<Vec<Listed>>> = Arc::default();
        let served = Arc::clone(&list);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = Arc::clone(&served);
                thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Some(head) = read_head(&mut reader) {
                        if read_body(&mut reader, &head, false).is_none() {
                            return;
                        }
                        let entries: Vec<String> =
                            list.lock().expect("no panic").iter().map(Listed::json).collect();
                        let body =
                            format!("{{\"instances\":[{}],\"next-token\":null}}", entries.join(","));
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if writer.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Platform { address, list }
    }
}

// ---------------------------------------------------------------------------------------------
// The machines

/// A deployment like a small site: `cores` core machines and `fronts` front machines in three
/// zones.
pub struct Deployment {
    pub folder: PathBuf,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    /// An address of 127.0.0.0/8 for stand-ins.
    pub outside: Ipv4Addr,
    _reservations: Vec<TcpListener>,
}

/// One machine with one process.
pub struct Node {
    pub name: String,
    pub role: &'static str,
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Address for clients, or for the operator.
    pub listen: String,
    pub ready: String,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    pub child: Option<Child>,
}

/// Figures of the deployment that go into the settings.
#[derive(Clone)]
pub struct Figures {
    pub bounds: &'static str,
    pub tolerate: u32,
}

/// The bounds of `vsl-herhaal`, as its sheet in SYSTEM.md states them.
pub const VSL_HERHAAL: Figures = Figures {
    bounds: "seed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\n\
             drain-ms = 3000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-ms = 2000\nrollback-slack-ms = 250\n\
             skew-max-ms = 5000\nbudget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\nrecovery-s = 12\n\
             transit-ms = 120\nretry-after-s = 7.1\nfencing-required = true\nlease-ms = 3000\nthaw-ms = 300\n",
    tolerate: 2,
};

pub const ZONES: [&str; 3] = ["leuven-a", "leuven-b", "gent-c"];

impl Deployment {
    /// Lays out the machines and starts them all, with the commands of the deploy file.
    pub fn start(cores: usize, fronts: usize, figures: &Figures) -> Self {
        let root = std::env::current_dir().unwrap_or_else(|e| could_not_run(&e.to_string()));
        let program = root.join("target/release/garnetcourse");
        if !program.exists() {
            could_not_run("target/release/garnetcourse is missing; run the build of the deploy file");
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| could_not_run(&e.to_string()));
        let mut reservations = Vec::new();
        let mut ips = Vec::new();
        let mut candidate = 0x7f40_0000u32 + (std::process::id() % 60_000) * 64;
        // One listener on each address keeps other runs away from it.
        while ips.len() < cores + fronts + 1 {
            candidate += 1;
            if candidate & 0xff == 0 || candidate & 0xff == 0xff {
                continue;
            }
            let ip = Ipv4Addr::from(candidate);
            if let Ok(listener) = TcpListener::bind((ip, 7300)) {
                reservations.push(listener);
                ips.push(ip);
            }
        }
        let outside = ips.pop().expect("one more");
        let platform = Platform::start(outside);
        let seeds: Vec<String> = ips[..cores.min(3)].iter().map(|ip| format!("\"{ip}:8144\"")).collect();
        let mut nodes = Vec::new();
        for (number, ip) in ips.iter().enumerate() {
            let is_core = number < cores;
            let role = if is_core { "core" } else { "front" };
            let of_role = if is_core { number } else { number - cores };
            let zone = ZONES[of_role % 3];
            let name = format!("{role}-{zone}-{}", of_role / 3 + 1);
            let data = folder.join(format!("{name}-data"));
            let (listen, ready) = (format!("{ip}:{}", if is_core { 8144 } else { 8149 }), format!("{ip}:8141"));
            let own = if is_core {
                let _made = std::fs::create_dir_all(&data);
                format!("data-dir = \"{}\"\n", data.display())
            } else {
                String::new()
            };
            let addresses = if is_core {
                format!("control = \"{listen}\"\n")
            } else {
                format!("front = \"{listen}\"\nready = \"{ready}\"\n")
            };
            let serves = if is_core { "control" } else { "front" };
            let (share, memory, disk) = if is_core { (0.6, 256, 128) } else { (0.25, 260, 0) };
            let text = format!(
                "node = \"{name}\"\nrole = \"{role}\"\nmachine-class = \"{role}\"\nserves = [\"{serves}\"]\n\
                 ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"be-flanders\"\ninternal-ports = [7380,7395]\n\
                 seeds = [{}]\nbootstrap = BOOTSTRAP\nin-tolerance = {is_core}\ndiscovery = \"cloud\"\nentry = \"vip\"\n\
                 heartbeat-ms = 1200\n{own}contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\"]\n\
                 config-mode = \"highest\"\n[zones]\nleuven-a = \"be-flanders\"\nleuven-b = \"be-flanders\"\ngent-c = \"be-flanders\"\n\
                 [listen]\n{addresses}[limits]\ncpu-share = {share}\ncores = 1\nmemory-mb = {memory}\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = {disk}\n\
                 [tolerate]\nmachines = {}\nzones = 0\nregions = 0\n[bounds]\n{}[cloud]\naddress = \"{}\"\nrate-per-s = 40.0\nduties = []\nlag-ms = 800\n",
                seeds.join(","), figures.tolerate, figures.bounds, platform.address
            );
            let settings = folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text).unwrap_or_else(|e| could_not_run(&e.to_string()));
            nodes.push(Node {
                name: name.clone(),
                role,
                ip: *ip,
                zone: zone.to_owned(),
                listen,
                ready,
                settings,
                log: folder.join(format!("{name}.log")),
                root: root.clone(),
                child: None,
            });
        }
        for node in &mut nodes {
            node.start(true);
        }
        Deployment { folder, nodes, platform, outside, _reservations: reservations }
    }

    pub fn of_role(&self, role: &str) -> Vec<&Node> {
        self.nodes.iter().filter(|node| node.role == role).collect()
    }

    /// Puts a configuration as the operator does, until it is acknowledged.
    pub fn put_config(&self, text: &str, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            for node in self.of_role("core") {
                if put_config_at(&node.listen, text) == Some(200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until all fronts are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.of_role("front").iter().all(|node| node.is_ready()) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// The path of a machine's log.
    pub fn log_of(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Ends all processes that were started, and removes the folder.
    pub fn end(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _removed = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
    }
}

/// Puts a configuration at one node, following 307 up to twice.
pub fn put_config_at(address: &str, text: &str) -> Option<u16> {
    call_config(address, "PUT", text).map(|(status, _)| status)
}

/// Reads the configuration at one node, following 307 up to twice.
pub fn get_config_at(address: &str) -> Option<(u16, String)> {
    call_config(address, "GET", "")
}

fn call_config(address: &str, method: &str, text: &str) -> Option<(u16, String)> {
    let mut address = address.to_owned();
    for _ in 0..3 {
        let request = format!(
            "{method} /garnetcourse/config HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        let (head, body) = exchange(&address, &request, Duration::from_secs(2))?;
        if head.status() != 307 {
            return Some((head.status(), String::from_utf8_lossy(&body).into_owned()));
        }
        let location = head.get("location")?;
        let rest = location.strip_prefix("http://")?;
        address = rest.split('/').next()?.to_owned();
    }
    None
}

impl Node {
    /// Starts the process; the platform says `bootstrap` only at the first start.
    pub fn start(&mut self, first: bool) {
        let text = std::fs::read_to_string(&self.settings).unwrap_or_default();
        let text = text.replace("bootstrap = BOOTSTRAP", &format!("bootstrap = {first}"));
        let text = if first { text } else { text.replace("bootstrap = true", "bootstrap = false") };
        let _written = std::fs::write(&self.settings, text);
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|e| could_not_run(&e.to_string()));
        let mut command = Command::new(self.root.join("target/release/garnetcourse"));
        command.args([self.role, "--metrics-port", "9464"]).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("GARNETCOURSE_NODE_FILE", &self.settings);
        let errors = log.try_clone().expect("a handle");
        command.stdin(Stdio::null()).stdout(Stdio::from(log)).stderr(Stdio::from(errors));
        match command.spawn() {
            Ok(child) => {
                STARTED.lock().expect("no panic").push(child.id());
                self.child = Some(child);
            }
            Err(error) => could_not_run(&format!("{}: {error}", self.name)),
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /garnetcourse/ready HTTP/1.1\r\nhost: c\r\nconnection: close\r\n\r\n";
        exchange(&self.ready, request, Duration::from_millis(500)).is_some_and(|(head, _)| head.status() == 200)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _sent = child.kill();
            let _ended = child.wait();
            STARTED.lock().expect("no panic").retain(|id| *id != child.id());
        }
    }

    /// Sends a signal by its name, such as `STOP`, to the process of this machine.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _sent = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    pub fn log_path(&self) -> &Path {
        &self.log
    }
}

// ---------------------------------------------------------------------------------------------
// What runs

/// The runs that engines have begun, by request.
#[derive(Clone, Default)]
pub struct Runs {
    by_request: Arc<Mutex<HashMap<String, Vec<(u64, String)>>>>,
}

impl Runs {
    pub fn begun(&self, record: &Record, request: &str, engine: &str) {
        record.line(&format!("engine {engine} begins to run {request}"));
        let mut runs = self.by_request.lock().expect("no panic");
        runs.entry(request.to_owned()).or_default().push((record.now_ms(), engine.to_owned()));
    }

    pub fn of(&self, request: &str) -> Vec<(u64, String)> {
        self.by_request.lock().expect("no panic").get(request).cloned().unwrap_or_default()
    }

    pub fn all(&self) -> HashMap<String, Vec<(u64, String)>> {
        self.by_request.lock().expect("no panic").clone()
    }
}

/// Counts things by name.
#[derive(Clone, Default)]
pub struct Counts(Arc<Mutex<std::collections::BTreeMap<String, u64>>>);

impl Counts {
    pub fn add(&self, name: &str) {
        *self.0.lock().expect("no panic").entry(name.to_owned()).or_default() += 1;
    }

    pub fn get(&self, name: &str) -> u64 {
        self.0.lock().expect("no panic").get(name).copied().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        let counts = self.0.lock().expect("no panic");
        let parts: Vec<String> = counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
        parts.join(", ")
    }
}

/// A flag and a number that threads share.
pub type Flag = Arc<AtomicBool>;
pub type Number = Arc<AtomicU64>;

pub fn is_set(flag: &Flag) -> bool {
    flag.load(Ordering::Relaxed)
}

pub fn set(flag: &Flag, value: bool) {
    flag.store(value, Ordering::Relaxed);
}
