//! Command line of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garnet_stand_in::text::BUILDS;
use garnet_types::{EngineRole, Millis};
use lexopt::prelude::{Long, Short, Value, ValueExt};

pub(crate) const HELP: &str = "\
Usage: garnet-standin engine|app|platform [OPTIONS]

  --name NAME           name of the back end (default: the kind)
  --listen IP:PORT      where to listen; port 0 lets the system pick (default 127.0.0.1:0)
  --service NAME        service that it belongs to
  --zone NAME           zone that it stands in
  --platform IP:PORT    platform to register with
  --data DIR            folder for an engine's highest fence
  --model NAME          model that an engine has loaded
  --build NAME          build of an engine: 1 or 2, each of which writes other texts (default 1)
  --role ROLE           prefill, decode or mixed (default mixed)
  --speed FACTOR        makes an engine so many times as fast (default 1)
  --role-change-ms MS   time that a change of role takes (default 3000)
  --report-lag-ms MS    age of load reports, or lag of the platform's list (default 400)
  --crash-on WORD       an engine ends a moment after it began to generate from a
                        prompt that begins so
  --link-us US          one-way latency of the link to this process (default 0)
  --help                this text

Exit codes: 0 planned stop, 1 failure, 2 wrong usage, 3 a crash that was asked for.
";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Engine,
    Application,
    Platform,
}

#[derive(Debug, Clone)]
pub(crate) struct Arguments {
    pub(crate) kind: Kind,
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) platform: Option<String>,
    pub(crate) data: PathBuf,
    pub(crate) model: String,
    pub(crate) build: String,
    pub(crate) role: EngineRole,
    pub(crate) speed: f64,
    pub(crate) role_change: Millis,
    pub(crate) report_lag: Millis,
    pub(crate) link: Duration,
    pub(crate) crash_on: Option<String>,
}

impl Arguments {
    /// The arguments, or `None` when help was asked for.
    pub(crate) fn parse() -> Result<Option<Self>, lexopt::Error> {
        let mut parser = lexopt::Parser::from_env();
        let mut arguments = Arguments::new(Kind::Engine);
        let mut kind = None;
        while let Some(argument) = parser.next()? {
            match argument {
                Value(word) if kind.is_none() => kind = Some(parse_kind(&word.string()?)?),
                Long("name") => arguments.name = parser.value()?.string()?,
                Long("listen") => arguments.listen = parser.value()?.parse()?,
                Long("service") => arguments.service = parser.value()?.string()?,
                Long("zone") => arguments.zone = parser.value()?.string()?,
                Long("platform") => arguments.platform = Some(parser.value()?.string()?),
                Long("data") => arguments.data = parser.value()?.into(),
                Long("model") => arguments.model = parser.value()?.string()?,
                Long("build") => arguments.build = parse_build(parser.value()?.string()?)?,
                Long("role") => arguments.role = parse_role(&parser.value()?.string()?)?,
                Long("speed") => arguments.speed = parser.value()?.parse()?,
                Long("role-change-ms") => arguments.role_change = Millis(parser.value()?.parse()?),
                Long("report-lag-ms") => arguments.report_lag = Millis(parser.value()?.parse()?),
                Long("crash-on") => arguments.crash_on = Some(parser.value()?.string()?),
                Long("link-us") => {
                    arguments.link = Duration::from_micros(parser.value()?.parse()?);
                }
                Long("help") | Short('h') => return Ok(None),
                other => return Err(other.unexpected()),
            }
        }
        arguments.kind = kind.ok_or("one of engine, app or platform is needed; see --help")?;
        if arguments.name.is_empty() {
            arguments.name = format!("{:?}", arguments.kind).to_lowercase();
        }
        Ok(Some(arguments))
    }

    fn new(kind: Kind) -> Self {
        Arguments {
            kind,
            name: String::new(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: "service".to_owned(),
            zone: "zone".to_owned(),
            platform: None,
            data: PathBuf::from("data"),
            model: "model".to_owned(),
            build: BUILDS[0].to_owned(),
            role: EngineRole::Mixed,
            speed: 1.0,
            role_change: Millis(3000),
            report_lag: Millis(400),
            link: Duration::ZERO,
            crash_on: None,
        }
    }
}

fn parse_kind(word: &str) -> Result<Kind, lexopt::Error> {
    match word {
        "engine" => Ok(Kind::Engine),
        "app" => Ok(Kind::Application),
        "platform" => Ok(Kind::Platform),
        other => Err(format!("unknown kind \"{other}\"; see --help").into()),
    }
}

fn parse_build(name: String) -> Result<String, lexopt::Error> {
    if BUILDS.contains(&name.as_str()) {
        return Ok(name);
    }
    Err(format!("unknown build \"{name}\"; see --help").into())
}

fn parse_role(word: &str) -> Result<EngineRole, lexopt::Error> {
    match word {
        "prefill" => Ok(EngineRole::Prefill),
        "decode" => Ok(EngineRole::Decode),
        "mixed" => Ok(EngineRole::Mixed),
        other => Err(format!("unknown role \"{other}\"; see --help").into()),
    }
}
