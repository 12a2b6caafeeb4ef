//! Options of all verbs: `--name value`, and flags without a value.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;

use lexopt::prelude::{Long, Short, Value, ValueExt};

/// Options that take no value.
const FLAGS: [&str; 5] = ["check", "gateways-first", "json", "stream", "help"];

/// What the command line says.
#[derive(Debug, Default)]
pub(crate) struct Options {
    words: Vec<String>,
    values: BTreeMap<String, String>,
    flags: BTreeSet<String>,
    asked: RefCell<BTreeSet<String>>,
}

impl Options {
    pub(crate) fn parse() -> Result<Self, lexopt::Error> {
        let mut parser = lexopt::Parser::from_env();
        let mut options = Options::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Value(word) => options.words.push(word.string()?),
                Short('h') => {
                    options.flags.insert("help".to_owned());
                }
                Long(name) => {
                    let name = name.to_owned();
                    if FLAGS.contains(&name.as_str()) {
                        options.flags.insert(name);
                    } else {
                        let value = parser.value()?.string()?;
                        options.values.insert(name, value);
                    }
                }
                other => return Err(other.unexpected()),
            }
        }
        Ok(options)
    }

    /// The verb.
    pub(crate) fn verb(&self) -> Option<&str> {
        self.word(0)
    }

    /// Word number `position`.
    pub(crate) fn word(&self, position: usize) -> Option<&str> {
        self.words.get(position).map(String::as_str)
    }

    /// The words that follow the verb.
    pub(crate) fn words_after_verb(&self) -> &[String] {
        self.words.get(1..).unwrap_or_default()
    }

    /// Whether a flag is given.
    pub(crate) fn flag(&self, name: &str) -> bool {
        self.flags.contains(name)
    }

    /// The text of an option.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.asked.borrow_mut().insert(name.to_owned());
        self.values.get(name).map(String::as_str)
    }

    /// The text of an option that must be there.
    pub(crate) fn needed(&self, name: &str) -> Result<&str, String> {
        self.text(name).ok_or_else(|| format!("--{name} is needed"))
    }

    /// The value of an option, or the default.
    pub(crate) fn value<T: FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        match self.text(name) {
            None => Ok(default),
            Some(text) => text
                .parse()
                .map_err(|_| format!("--{name}: \"{text}\" is not of the right form")),
        }
    }

    /// A list of numbers such as `1,2,5..9`; a range excludes its end.
    pub(crate) fn numbers(&self, name: &str, default: &str) -> Result<Vec<u64>, String> {
        let text = self.text(name).unwrap_or(default);
        let mut numbers = Vec::new();
        for part in text.split(',') {
            let wrong = |_| format!("--{name}: \"{part}\" is no number or range");
            match part.split_once("..") {
                Some((first, end)) => {
                    let first: u64 = first.parse().map_err(wrong)?;
                    let end: u64 = end.parse().map_err(wrong)?;
                    numbers.extend(first..end);
                }
                None => numbers.push(part.parse().map_err(wrong)?),
            }
        }
        Ok(numbers)
    }

    /// Fails when an option was given that the verb never asked for.
    pub(crate) fn check_all_asked(&self) -> Result<(), String> {
        let asked = self.asked.borrow();
        match self.values.keys().find(|name| !asked.contains(*name)) {
            Some(name) => Err(format!("unknown option --{name}")),
            None => Ok(()),
        }
    }
}
