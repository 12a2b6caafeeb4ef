//! Settings of a gateway: a TOML file, and flags over it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garnet_routing::AdmissionSettings;
use garnet_runtime::command_line::read_file;
use garnet_settings::{Document, Findings, TableReader};
use garnet_types::Millis;
use lexopt::prelude::{Long, Short};

pub(crate) const HELP: &str = "\
Usage: garnet-gateway --settings FILE [OPTIONS]

  --settings FILE   settings of the gateway (docs/settings.md)
  --data DIR        data folder, over the file's
  --check           checks the settings, prints every finding and exits
  --help            this text

Exit codes: 0 planned stop, 1 failure, 2 wrong usage or settings.
";

const MAX_INTERVAL_MS: u64 = 600_000;
const MIN_GRACE_MS: u64 = 100;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

#[derive(Debug, Default)]
pub(crate) struct CommandLine {
    settings: PathBuf,
    data: Option<PathBuf>,
    pub(crate) check: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) data: PathBuf,
    pub(crate) listen: SocketAddr,
    pub(crate) controls: Vec<String>,
    pub(crate) max_body_bytes: usize,
    pub(crate) waiting_capacity: usize,
    pub(crate) application_concurrency: usize,
    /// Time after which the process of a planned stop is killed, if that is known.
    pub(crate) grace: Option<Duration>,
    pub(crate) admission: AdmissionSettings,
}

impl CommandLine {
    /// The arguments, or `None` when help was asked for.
    pub(crate) fn parse() -> Result<Option<Self>, lexopt::Error> {
        let mut parser = lexopt::Parser::from_env();
        let mut parsed = CommandLine::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("settings") => parsed.settings = parser.value()?.into(),
                Long("data") => parsed.data = Some(parser.value()?.into()),
                Long("check") => parsed.check = true,
                Long("help") | Short('h') => return Ok(None),
                other => return Err(other.unexpected()),
            }
        }
        if parsed.settings.as_os_str().is_empty() {
            return Err("--settings FILE is needed; see --help".into());
        }
        Ok(Some(parsed))
    }

    /// The settings, or every finding.
    pub(crate) fn load(&self) -> Result<Settings, Findings> {
        let text = read_file(&self.settings)?;
        let file = self.settings.display().to_string();
        let mut settings = parse(&file, &text)?;
        if let Some(data) = &self.data {
            settings.data = data.clone();
        }
        Ok(settings)
    }
}

/// Reads the settings from text.
pub(crate) fn parse(file: &str, text: &str) -> Result<Settings, Findings> {
    let read = Document::read(file, text, |table| {
        let name = table.string("name");
        let name = table.required("name", name);
        let zone = table.string("zone").unwrap_or_default();
        let data = table.string("data").map(PathBuf::from);
        let data = table.required("data", data);
        let listen = table.string("listen");
        let listen = table.required("listen", listen);
        let listen = listen.and_then(|text| read_address(table, "listen", &text));
        let controls = table.strings("controls");
        if controls.is_empty() {
            table.report("controls", "at least one replica's address is needed");
        }
        for address in &controls {
            let _checked = read_address(table, "controls", address);
        }
        let max_body_bytes = table.integer("max_body_bytes", 1024..=MAX_BODY_BYTES);
        let waiting_capacity = table.integer("waiting_capacity", 1..=1_000_000);
        let concurrency = table.integer("application_concurrency", 1..=100_000);
        let grace_ms = table.integer("grace_ms", MIN_GRACE_MS..=MAX_INTERVAL_MS);
        let admission = table.table("admission", read_admission);
        Some(Settings {
            name: name?,
            zone,
            data: data?,
            listen: listen?,
            controls,
            max_body_bytes: max_body_bytes.unwrap_or(4 * 1024 * 1024) as usize,
            waiting_capacity: waiting_capacity.unwrap_or(1024) as usize,
            application_concurrency: concurrency.unwrap_or(64) as usize,
            grace: grace_ms.map(Duration::from_millis),
            admission: admission.unwrap_or_default(),
        })
    })?;
    // Whatever is missing was a finding, so the settings are there.
    read.ok_or_else(Findings::default)
}

fn read_address(table: &TableReader<'_>, key: &str, text: &str) -> Option<SocketAddr> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        let message = format!("\"{text}\" must be an IP address and a port, such as 10.0.0.1:7000");
        table.report(key, message);
    }
    parsed
}

fn read_admission(table: &mut TableReader<'_>) -> AdmissionSettings {
    let defaults = AdmissionSettings::default();
    let target = table.integer("first_token_target_ms", 1..=MAX_INTERVAL_MS);
    let longest = table.integer("longest_retry_after_ms", 1000..=MAX_INTERVAL_MS);
    let share = table.float("first_token_share", 0.01..=1.0);
    let margin = table.float("generation_margin", 0.0..=10.0);
    AdmissionSettings {
        first_token_target: target.map_or(defaults.first_token_target, Millis),
        first_token_share: share.unwrap_or(defaults.first_token_share),
        generation_margin: margin.unwrap_or(defaults.generation_margin),
        max_retry_after: longest.map_or(defaults.max_retry_after, Millis),
    }
}
