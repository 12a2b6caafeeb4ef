//! One program and the process that runs it.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use super::fleet::text;

/// One program and the process that runs it.
pub(super) struct Slot {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    /// Arguments of the very first start.
    first_arguments: Vec<String>,
    child: Option<Child>,
}

impl Slot {
    pub(super) fn new(name: &str, program: PathBuf, arguments: &[&str]) -> Self {
        Slot {
            name: name.to_owned(),
            program,
            arguments: arguments.iter().map(ToString::to_string).collect(),
            first_arguments: Vec::new(),
            child: None,
        }
    }

    /// Adds an argument of the very first start.
    pub(super) fn with_first_argument(mut self, argument: &str) -> Self {
        self.first_arguments.push(argument.to_owned());
        self
    }

    /// The value of an option.
    pub(super) fn option(&self, name: &str) -> Option<&str> {
        let mut pairs = self.arguments.windows(2);
        let pair = pairs.find(|pair| pair[0] == name)?;
        Some(&pair[1])
    }

    /// Replaces the value of an option, from the next start on.
    pub(super) fn set_option(&mut self, name: &str, value: &str) {
        let position = self.arguments.iter().position(|argument| argument == name);
        if let Some(argument) = position.and_then(|at| self.arguments.get_mut(at + 1)) {
            value.clone_into(argument);
        }
    }

    /// Starts the process; what it writes is added to its log in `folder`.
    pub(super) fn start(&mut self, folder: &Path, first: bool) -> Result<(), String> {
        let file = folder.join(format!("{}.log", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(file)
            .map_err(text)?;
        let errors = log.try_clone().map_err(text)?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments);
        if first {
            command.args(&self.first_arguments);
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let named = |error| format!("can't start {}: {error}", self.program.display());
        self.child = Some(child.map_err(named)?);
        Ok(())
    }

    /// Sends a signal to the process.
    pub(super) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
            // One that has ended already needs no signal.
            let _gone = pid.map(|pid| kill_process(pid, signal));
        }
    }

    /// Whether the process has ended.
    pub(super) fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Ends the process.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // One that has ended already is only waited for.
            let _ended = child.kill();
            let _status = child.wait();
        }
    }
}
