//! What is printed: lines of key=value pairs, or JSON.

use serde_json::{Map, Value, json};

use crate::client::AdminAnswer;

/// Prints the answer to a change.
pub(crate) fn print_answer(answer: &AdminAnswer, as_json: bool) {
    if as_json {
        garnet_runtime::print_line!("{}", answer.body);
        return;
    }
    if let Some(message) = answer.body["message"].as_str() {
        eprintln!("{message}");
    }
    garnet_runtime::print_line!("{}", pairs(&answer.body));
}

/// Prints the things of a map that `keep` keeps, one on each line.
pub(crate) fn print_map(things: &Value, as_json: bool, keep: impl Fn(&Value) -> bool) {
    let empty = Map::new();
    let things = things.as_object().unwrap_or(&empty);
    let kept = things.iter().filter(|(_, thing)| keep(thing));
    if as_json {
        let kept: Map<String, Value> = kept
            .map(|(name, thing)| (name.clone(), thing.clone()))
            .collect();
        garnet_runtime::print_line!("{}", Value::Object(kept));
        return;
    }
    for (name, thing) in kept {
        garnet_runtime::print_line!("{name} {}", pairs(thing));
    }
}

/// Prints the state of each replica.
pub(crate) fn print_status(all: &[(String, Value)], as_json: bool) {
    if as_json {
        let map: Map<String, Value> = all.iter().cloned().collect();
        garnet_runtime::print_line!("{}", json!(map));
        return;
    }
    for (control, status) in all {
        if status.is_null() {
            garnet_runtime::print_line!("{control} no answer");
        } else {
            garnet_runtime::print_line!("{control} {}", pairs(status));
        }
    }
}

fn pairs(value: &Value) -> String {
    let Some(object) = value.as_object() else {
        return value.to_string();
    };
    let pair = |(key, value): (&String, &Value)| match value {
        Value::String(text) => format!("{key}={text:?}"),
        other => format!("{key}={other}"),
    };
    object.iter().map(pair).collect::<Vec<_>>().join(" ")
}
