//! Settings of a replica: a TOML file, and flags over it.

use std::net::SocketAddr;
use std::path::PathBuf;

use garnet_consensus::{Member, Membership};
use garnet_control::planner_settings;
use garnet_planner::PlannerSettings;
use garnet_runtime::command_line::read_file;
use garnet_settings::{Document, Findings, TableReader};
use garnet_types::ReplicaId;
use lexopt::prelude::{Long, Short};

pub(crate) const HELP: &str = "\
Usage: garnet-control --settings FILE [OPTIONS]

  --settings FILE   settings of the replica (docs/settings.md)
  --data DIR        data folder, over the file's
  --bootstrap       makes the data folder of a first member, if it is empty;
                    without it an empty folder gets a new identity, which an
                    operator adds with `garnetctl member add`
  --check           checks the settings, prints every finding and exits
  --help            this text

Exit codes: 0 planned stop, 1 failure, 2 wrong usage or settings.
";

#[derive(Debug, Default)]
pub(crate) struct CommandLine {
    settings: PathBuf,
    data: Option<PathBuf>,
    pub(crate) bootstrap: bool,
    pub(crate) check: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) name: String,
    pub(crate) initial_id: Option<ReplicaId>,
    pub(crate) data: PathBuf,
    pub(crate) peer_listen: SocketAddr,
    pub(crate) admin_listen: SocketAddr,
    pub(crate) platform: Option<String>,
    pub(crate) snapshot_every: u64,
    pub(crate) members: Membership,
    pub(crate) planner: Option<PlannerSettings>,
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
                Long("bootstrap") => parsed.bootstrap = true,
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
        let initial_id = table.integer("initial_id", 1..=u64::MAX).map(ReplicaId);
        let data = table.string("data").map(PathBuf::from);
        let data = table.required("data", data);
        let peer_listen = address(table, "peer_listen");
        let admin_listen = address(table, "admin_listen");
        let platform = table.string("platform");
        let snapshot_every = table.integer("snapshot_every", 10..=1_000_000);
        let members = table.tables("member", read_member);
        let planner = table.table("planner", planner_settings).flatten();
        Some(Settings {
            name: name?,
            initial_id,
            data: data?,
            peer_listen: peer_listen?,
            admin_listen: admin_listen?,
            platform,
            snapshot_every: snapshot_every.unwrap_or(1000),
            members: Membership {
                members: members.into_iter().flatten().collect(),
            },
            planner,
        })
    })?;
    // Whatever is missing was a finding, so the settings are there.
    read.ok_or_else(Findings::default)
}

fn address(table: &mut TableReader<'_>, key: &'static str) -> Option<SocketAddr> {
    let text = table.string(key);
    let text = table.required(key, text)?;
    let parsed = text.parse().ok();
    if parsed.is_none() {
        table.report(
            key,
            "must be an IP address and a port, such as 10.0.0.1:7000",
        );
    }
    parsed
}

fn read_member(table: &mut TableReader<'_>) -> Option<(ReplicaId, Member)> {
    let id = table.integer("id", 1..=u64::MAX);
    let id = table.required("id", id);
    let peer = address(table, "peer");
    let admin = address(table, "admin");
    let member = Member {
        peer_address: peer?.to_string(),
        admin_address: admin?.to_string(),
        voter: true,
    };
    Some((ReplicaId(id?), member))
}
