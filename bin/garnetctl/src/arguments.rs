//! Command line of `garnetctl`.

use lexopt::prelude::{Long, Short, Value, ValueExt};

pub(crate) const HELP: &str = "\
Usage: garnetctl [OPTIONS] GROUP VERB [ARGUMENTS]

  status                                state of every replica
  session list
  session create ID --tenant T --service S [--model M]
  session close ID
  policy list
  policy check FILE                     all findings, without a server
  policy put NAME FILE [--expected-revision N]
  policy withdraw NAME [--expected-revision N]
  routes check FILE                     all findings, without a server
  routes get                            the document in force
  routes put FILE                       replaces the route table; the highest
                                        version wins
  engine list
  engine assign ID --role ROLE --model M [--expected-revision N]
  backend list
  backend remove ID
  quarantine list
  quarantine release FINGERPRINT
  order list                            orders that are not settled
  member list
  member add ID --peer IP:PORT --admin IP:PORT
  member promote ID
  member remove ID
  level raise                           ends the time in which an upgrade can be rolled back
  leader transfer
  ports N                               N free ports of this machine
  probe IP:PORT PATH                    prints what a process answers to GET PATH

  --controls LIST        admin addresses of the replicas, with commas between
                         (default: the environment's GARNET_CONTROLS)
  --wait                 returns when the change is in force at every gateway
  --command-id ID        name of the command; a resent command with the same
                         name gets the first answer (default: drawn at random)
  --expected-revision N  refuses the change if the thing has another revision;
                         0 means that it must not exist yet
  --json                 prints the answer as JSON
  --help                 this text; `garnetctl GROUP --help` its verbs only

Exit codes: 0 done, 1 refused, 2 wrong usage, 3 conflict with another
operator, 4 no answer or unconfirmed: send it again with the same command id,
5 accepted but not yet in force everywhere.
";

/// What the command line asks for.
pub(crate) enum Parsed {
    Help(String),
    Run(Box<Arguments>),
}

#[derive(Debug, Default, Clone)]
pub(crate) struct Arguments {
    pub(crate) words: Vec<String>,
    pub(crate) controls: Vec<String>,
    pub(crate) wait: bool,
    pub(crate) json: bool,
    pub(crate) command_id: Option<String>,
    pub(crate) expected_revision: Option<u64>,
    pub(crate) tenant: Option<String>,
    pub(crate) service: Option<String>,
    pub(crate) model: Option<String>,
    pub(crate) role: Option<String>,
    pub(crate) peer: Option<String>,
    pub(crate) admin: Option<String>,
}

pub(crate) fn parse() -> Result<Parsed, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut arguments = Arguments::default();
    let mut controls = std::env::var("GARNET_CONTROLS").unwrap_or_default();
    while let Some(argument) = parser.next()? {
        match argument {
            Value(word) => arguments.words.push(word.string()?),
            Long("controls") => controls = parser.value()?.string()?,
            Long("wait") => arguments.wait = true,
            Long("json") => arguments.json = true,
            Long("command-id") => arguments.command_id = Some(parser.value()?.string()?),
            Long("expected-revision") => {
                arguments.expected_revision = Some(parser.value()?.parse()?);
            }
            Long("tenant") => arguments.tenant = Some(parser.value()?.string()?),
            Long("service") => arguments.service = Some(parser.value()?.string()?),
            Long("model") => arguments.model = Some(parser.value()?.string()?),
            Long("role") => arguments.role = Some(parser.value()?.string()?),
            Long("peer") => arguments.peer = Some(parser.value()?.string()?),
            Long("admin") => arguments.admin = Some(parser.value()?.string()?),
            Long("help") | Short('h') => return Ok(Parsed::Help(help(&arguments.words))),
            other => return Err(other.unexpected()),
        }
    }
    if arguments.words.is_empty() {
        return Ok(Parsed::Help(HELP.to_owned()));
    }
    arguments.controls = controls
        .split([',', ' '])
        .filter(|address| !address.is_empty())
        .map(str::to_owned)
        .collect();
    Ok(Parsed::Run(Box::new(arguments)))
}

/// The whole help, or the lines of one group with the options.
fn help(words: &[String]) -> String {
    let Some(group) = words.first() else {
        return HELP.to_owned();
    };
    let is_other_verb = |line: &&str| {
        let verb = line
            .strip_prefix("  ")
            .filter(|rest| !rest.starts_with([' ', '-']));
        verb.is_none_or(|verb| verb.starts_with(group.as_str()))
    };
    let lines: Vec<&str> = HELP.lines().filter(is_other_verb).collect();
    lines.join("\n") + "\n"
}
