//! A gateway process on a port that the system picked.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_garnet-gateway");

/// Settings of a gateway whose replicas nobody runs.
pub fn settings(listen: &str, data: &Path) -> String {
    settings_with(listen, data, &["127.0.0.1:1".to_owned()])
}

/// Settings of a gateway with these replicas.
fn settings_with(listen: &str, data: &Path, controls: &[String]) -> String {
    format!(
        "name = \"gateway\"\nlisten = \"{listen}\"\ndata = \"{}\"\n\
         controls = {controls:?}\nmax_body_bytes = 2048\n",
        data.display()
    )
}

/// Runs the program to its end with a settings file of this text.
pub fn run_to_end(text: &str, arguments: &[&str]) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.toml");
    std::fs::write(&file, text).expect("written");
    Command::new(PROGRAM)
        .arg("--settings")
        .arg(&file)
        .args(arguments)
        .output()
        .expect("the program starts")
}

/// A running gateway; it ends with the value.
pub struct Running {
    child: Child,
    pub address: String,
    _folder: TempDir,
}

impl Running {
    pub fn start() -> Self {
        Self::start_with(&["127.0.0.1:1".to_owned()])
    }

    /// Starts a gateway with these replicas.
    pub fn start_with(controls: &[String]) -> Self {
        Self::start_with_more(controls, "")
    }

    /// Starts a gateway with these replicas and more lines of settings.
    pub fn start_with_more(controls: &[String], more: &str) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("settings.toml");
        let text = settings_with("127.0.0.1:0", &folder.path().join("data"), controls);
        std::fs::write(&file, text + more).expect("written");
        let mut child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = child.stdout.take().expect("it is piped");
        let address = listening_address(BufReader::new(log));
        Running {
            child,
            address,
            _folder: folder,
        }
    }

    /// The id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        let id = Pid::from_child(&self.child);
        kill_process(id, Signal::TERM).expect("it runs");
    }

    /// Sends bytes and gives the whole answer, up to the connection's end.
    pub fn send(&self, bytes: &[u8]) -> String {
        read_answer(self.connect_and_write(bytes))
    }

    /// Sends bytes and closes the sending side; gives what is answered.
    pub fn send_and_close(&self, bytes: &[u8]) -> String {
        let stream = self.connect_and_write(bytes);
        // It may have been closed from the other side already.
        let _closed = stream.shutdown(std::net::Shutdown::Write);
        read_answer(stream)
    }

    fn connect_and_write(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(&self.address).expect("it listens");
        // A server may refuse and close before it has read everything.
        let _cut = stream.write_all(bytes);
        stream
    }

    /// Sends a request with a body.
    pub fn post(&self, path: &str, headers: &str, body: &str) -> String {
        let length = body.len();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n\
             content-length: {length}\r\n{headers}\r\n"
        );
        self.send(format!("{head}{body}").as_bytes())
    }
}

fn read_answer(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // A connection that is reset after its answer is an answer too.
    let _reset = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

impl Drop for Running {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn listening_address(log: impl BufRead) -> String {
    let line = log
        .lines()
        .map_while(Result::ok)
        .find(|line| line.contains("event=listening"))
        .expect("it says where it listens");
    let field = line
        .split(' ')
        .find_map(|field| field.strip_prefix("address="));
    field.expect("the line has the address").to_owned()
}
