//! Typed access to a TOML document; errors are recorded as findings.

use std::cell::RefCell;
use std::ops::RangeInclusive;
use std::rc::Rc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::finding::{Finding, Findings};
use crate::suggestion::nearest;

/// State of a document that all its table readers share.
#[derive(Debug)]
struct DocumentState {
    file: String,
    text: String,
    findings: RefCell<Vec<Finding>>,
}

impl DocumentState {
    fn report(&self, offset: usize, key: &str, message: String) {
        let end = offset.min(self.text.len());
        let line = self.text.as_bytes()[..end]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
            + 1;
        self.findings.borrow_mut().push(Finding {
            file: self.file.clone(),
            line,
            key: key.to_owned(),
            message,
        });
    }
}

/// A document and its findings so far.
#[derive(Debug, Clone)]
pub struct Document {
    state: Rc<DocumentState>,
}

impl Document {
    /// Parses `text`, reads it with `read` and returns the value of `read`.
    ///
    /// # Errors
    /// All findings of the document, in the order of their lines.
    pub fn read<T>(
        file: &str,
        text: &str,
        read: impl FnOnce(&mut TableReader<'_>) -> T,
    ) -> Result<T, Findings> {
        let state = Rc::new(DocumentState {
            file: file.to_owned(),
            text: text.to_owned(),
            findings: RefCell::default(),
        });
        let parsed = match DeTable::parse(text) {
            Ok(parsed) => parsed,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                state.report(offset, "", error.message().to_owned());
                return Err(Findings(state.findings.take()));
            }
        };
        let mut reader = TableReader {
            document: Document {
                state: Rc::clone(&state),
            },
            table: parsed.get_ref(),
            offset: 0,
            path: String::new(),
            known: Vec::new(),
            allows_unknown_keys: false,
        };
        let value = read(&mut reader);
        reader.finish();
        Findings(state.findings.take()).into_result(value)
    }
}

/// Reads one table of a document. A key becomes known when it is read; at the end,
/// every key of the table that is still unknown is a finding.
#[derive(Debug)]
pub struct TableReader<'a> {
    document: Document,
    table: &'a DeTable<'a>,
    offset: usize,
    path: String,
    known: Vec<&'static str>,
    allows_unknown_keys: bool,
}

impl<'a> TableReader<'a> {
    /// Ignores unknown keys in this table and in the child tables that are read after this
    /// call. Meant for documents to which other programs add their own keys.
    pub fn allow_unknown_keys(&mut self) {
        self.allows_unknown_keys = true;
    }

    /// The string at `key`.
    pub fn string(&mut self, key: &'static str) -> Option<String> {
        let value = self.value(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => self.wrong_type(value, key, "a text in quotes"),
        }
    }

    /// The integer at `key`, which must be in `range`.
    pub fn integer(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.value(key)?;
        let DeValue::Integer(number) = value.get_ref() else {
            return self.wrong_type(value, key, "a whole number");
        };
        let parsed = u64::from_str_radix(number.as_str(), number.radix()).ok();
        match parsed {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                let message = format!("must be from {} to {}", range.start(), range.end());
                self.report_at(value.span().start, key, message);
                None
            }
        }
    }

    /// The number at `key`, which must be in `range`.
    pub fn float(&mut self, key: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = self.value(key)?;
        let parsed = match value.get_ref() {
            DeValue::Float(number) => number.as_str().parse::<f64>().ok(),
            DeValue::Integer(number) => number.as_str().parse::<f64>().ok(),
            _ => return self.wrong_type(value, key, "a number"),
        };
        match parsed {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                let message = format!("must be from {} to {}", range.start(), range.end());
                self.report_at(value.span().start, key, message);
                None
            }
        }
    }

    /// The boolean at `key`.
    pub fn boolean(&mut self, key: &'static str) -> Option<bool> {
        let value = self.value(key)?;
        match value.get_ref() {
            DeValue::Boolean(flag) => Some(*flag),
            _ => self.wrong_type(value, key, "true or false"),
        }
    }

    /// The value of the word at `key`, which must be one of `choices`.
    pub fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&'static str, T)],
    ) -> Option<T> {
        let offset = self.value(key)?.span().start;
        let word = self.string(key)?;
        let found = choices.iter().find(|(name, _)| *name == word);
        if found.is_none() {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            let hint = nearest(&word, &names)
                .map_or(String::new(), |near| format!("; did you mean \"{near}\"?"));
            let message = format!("\"{word}\" is not one of {}{hint}", names.join(", "));
            self.report_at(offset, key, message);
        }
        found.map(|(_, value)| *value)
    }

    /// The strings of the list at `key`.
    pub fn strings(&mut self, key: &'static str) -> Vec<String> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            return self
                .wrong_type(value, key, "a list of texts")
                .unwrap_or_default();
        };
        let mut texts = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::String(text) => texts.push(text.to_string()),
                _ => self.report_at(item.span().start, key, "must be a text in quotes".into()),
            }
        }
        texts
    }

    /// The integers of the list at `key`, each of which must be in `range`.
    pub fn integers(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Vec<u64> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            return self
                .wrong_type(value, key, "a list of whole numbers")
                .unwrap_or_default();
        };
        let mut numbers = Vec::new();
        for item in items.iter() {
            let number = match item.get_ref() {
                DeValue::Integer(number) => {
                    u64::from_str_radix(number.as_str(), number.radix()).ok()
                }
                _ => None,
            };
            match number.filter(|number| range.contains(number)) {
                Some(number) => numbers.push(number),
                None => {
                    let message = format!(
                        "must hold whole numbers from {} to {}",
                        range.start(),
                        range.end()
                    );
                    self.report_at(item.span().start, key, message);
                }
            }
        }
        numbers
    }

    /// Reads the table at `key` with `read`.
    pub fn table<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut TableReader<'_>) -> T,
    ) -> Option<T> {
        let value = self.value(key)?;
        let DeValue::Table(table) = value.get_ref() else {
            return self.wrong_type(value, key, "a table");
        };
        Some(self.read_child(table, value.span().start, self.dotted(key), read))
    }

    /// Reads each table of the array `[[key]]` with `read`.
    pub fn tables<T>(
        &mut self,
        key: &'static str,
        mut read: impl FnMut(&mut TableReader<'_>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            return self
                .wrong_type(value, key, "a list of tables")
                .unwrap_or_default();
        };
        let mut values = Vec::new();
        for (position, item) in items.iter().enumerate() {
            let path = format!("{}[{position}]", self.dotted(key));
            match item.get_ref() {
                DeValue::Table(table) => {
                    values.push(self.read_child(table, item.span().start, path, &mut read));
                }
                _ => self.report_at(item.span().start, key, "must be a table".into()),
            }
        }
        values
    }

    /// Reports that `key` is missing if `value` is `None` and the table does not have the
    /// key. A key with a bad value has been reported before.
    pub fn required<T>(&mut self, key: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.lookup(key).is_none() {
            self.report_at(self.offset, key, "is missing".into());
        }
        value
    }

    /// Records a finding at `key`, or at the table if it does not have the key.
    pub fn report(&self, key: &str, message: impl Into<String>) {
        let offset = self
            .lookup(key)
            .map_or(self.offset, |value| value.span().start);
        self.report_at(offset, key, message.into());
    }

    fn read_child<T>(
        &self,
        table: &DeTable<'_>,
        offset: usize,
        path: String,
        read: impl FnOnce(&mut TableReader<'_>) -> T,
    ) -> T {
        let mut child = TableReader {
            document: self.document.clone(),
            table,
            offset,
            path,
            known: Vec::new(),
            allows_unknown_keys: self.allows_unknown_keys,
        };
        let value = read(&mut child);
        child.finish();
        value
    }

    fn finish(&self) {
        if self.allows_unknown_keys {
            return;
        }
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if self.known.contains(&name) {
                continue;
            }
            let message = match nearest(name, &self.known) {
                Some(near) => format!("unknown key; did you mean \"{near}\"?"),
                None => format!("unknown key; known are {}", self.known.join(", ")),
            };
            self.report_at(key.span().start, name, message);
        }
    }

    fn value(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.lookup(key)
    }

    fn lookup(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table.get(key)
    }

    fn wrong_type<T>(&self, value: &Spanned<DeValue<'_>>, key: &str, wanted: &str) -> Option<T> {
        self.report_at(value.span().start, key, format!("must be {wanted}"));
        None
    }

    fn report_at(&self, offset: usize, key: &str, message: String) {
        self.document
            .state
            .report(offset, &self.dotted(key), message);
    }

    fn dotted(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}
