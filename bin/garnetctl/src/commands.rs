//! The verbs.

use std::net::TcpListener;
use std::path::Path;
use std::process::ExitCode;

use garnet_policy::Policy;
use garnet_runtime::command_line::read_file;
use serde_json::{Value, json};

use crate::arguments::Arguments;
use crate::client::{self, AdminAnswer, AdminRequest};
use crate::output;

const REFUSED: u8 = 1;
const CONFLICT: u8 = 3;
const NO_ANSWER: u8 = 4;
const NOT_IN_FORCE: u8 = 5;

const JSON: &str = "application/json";
const TOML: &str = "application/toml";

/// Runs a verb. An error is wrong usage.
pub(crate) fn run(arguments: &Arguments) -> Result<ExitCode, String> {
    let words: Vec<&str> = arguments.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["ports", count] => ports(count),
        ["probe", address, path] => Ok(probe(address, path)),
        ["policy", "check", file] => check_policy(file),
        ["status"] => status(arguments),
        ["session", "list"] => list(arguments, "sessions"),
        ["policy", "list"] => list(arguments, "policies"),
        ["quarantine", "list"] => list(arguments, "quarantine"),
        ["quarantine", "release", fingerprint] => {
            let path = format!("quarantine/{fingerprint}");
            change(arguments, "DELETE", path, None)
        }
        ["backend", "list"] => list(arguments, "backends"),
        ["engine", "list"] => list(arguments, "engines"),
        ["order", "list"] => show_status_part(arguments, "orders"),
        ["member", "list"] => show_status_part(arguments, "members"),
        ["session", "create", id] => {
            let body = json!({
                "tenant": needed(&arguments.tenant, "--tenant")?,
                "service": needed(&arguments.service, "--service")?,
                "model": arguments.model,
            });
            change(arguments, "PUT", format!("sessions/{id}"), Some(body))
        }
        ["session", "close", id] => change(arguments, "DELETE", format!("sessions/{id}"), None),
        ["routes", "check", file] => check_routes(file),
        ["routes", "get"] => get_routes(arguments),
        ["routes", "put", file] => put_routes(arguments, file),
        ["policy", "put", name, file] => put_policy(arguments, name, file),
        ["policy", "withdraw", name] => {
            change(arguments, "DELETE", format!("policies/{name}"), None)
        }
        ["engine", "assign", id] => {
            let body = json!({
                "role": needed(&arguments.role, "--role")?,
                "model": needed(&arguments.model, "--model")?,
            });
            change(
                arguments,
                "PUT",
                format!("engines/{id}/assignment"),
                Some(body),
            )
        }
        ["backend", "remove", id] => change(arguments, "DELETE", format!("backends/{id}"), None),
        ["member", "add", id] => {
            let id: u64 = id.parse().map_err(|_| "ID must be a whole number")?;
            let body = json!({
                "id": id,
                "peer": needed(&arguments.peer, "--peer")?,
                "admin": needed(&arguments.admin, "--admin")?,
            });
            change(arguments, "POST", "members".to_owned(), Some(body))
        }
        ["member", "promote", id] => {
            change(arguments, "POST", format!("members/{id}/promote"), None)
        }
        ["member", "remove", id] => change(arguments, "DELETE", format!("members/{id}"), None),
        ["level", "raise"] => change(arguments, "POST", "level".to_owned(), None),
        ["leader", "transfer"] => change(arguments, "POST", "leader/transfer".to_owned(), None),
        _ => Err(format!(
            "unknown command \"{}\"; see garnetctl --help",
            words.join(" ")
        )),
    }
}

fn needed<'a>(value: &'a Option<String>, option: &str) -> Result<&'a str, String> {
    value
        .as_deref()
        .ok_or_else(|| format!("{option} is needed; see garnetctl --help"))
}

// ---- Without a server ----

fn ports(count: &str) -> Result<ExitCode, String> {
    let count: usize = count.parse().map_err(|_| "N must be a whole number")?;
    let bind = |_| TcpListener::bind("127.0.0.1:0");
    // All are held until all are known, so that no port comes twice.
    let listeners: Result<Vec<TcpListener>, _> = (0..count).map(bind).collect();
    for listener in listeners.map_err(|error| error.to_string())? {
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        garnet_runtime::print_line!("{}", address.port());
    }
    Ok(ExitCode::SUCCESS)
}

fn probe(address: &str, path: &str) -> ExitCode {
    let request = AdminRequest {
        path: (*path).to_owned(),
        ..read_request("")
    };
    let Some(answer) = client::send_once(address, &request) else {
        eprintln!("{address} does not answer");
        return ExitCode::from(NO_ANSWER);
    };
    match &answer.body {
        Value::String(text) => garnet_runtime::print_out!("{text}"),
        body => garnet_runtime::print_line!("{body}"),
    }
    if answer.status < 300 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(REFUSED)
    }
}

fn check_policy(file: &str) -> Result<ExitCode, String> {
    let document = read_file(Path::new(file)).map_err(|findings| findings.to_string())?;
    match Policy::compile(file, &document) {
        Ok(_) => {
            garnet_runtime::print_line!("{file}: the policy is sound");
            Ok(ExitCode::SUCCESS)
        }
        Err(findings) => {
            eprintln!("{findings}");
            Ok(ExitCode::from(REFUSED))
        }
    }
}

fn check_routes(file: &str) -> Result<ExitCode, String> {
    let document = read_file(Path::new(file)).map_err(|findings| findings.to_string())?;
    match garnet_routes::read_document(&document) {
        Ok(table) => {
            garnet_runtime::print_line!("{file}: version {} is sound", table.version);
            Ok(ExitCode::SUCCESS)
        }
        Err(findings) => {
            for finding in &findings.0 {
                eprintln!("{file}: {}: {}", finding.place, finding.message);
            }
            Ok(ExitCode::from(REFUSED))
        }
    }
}

// ---- Reading ----

fn get_routes(arguments: &Arguments) -> Result<ExitCode, String> {
    check_controls(arguments)?;
    let Some(answer) = client::send(&arguments.controls, &read_request("routes")) else {
        return Ok(no_answer());
    };
    garnet_runtime::print_line!("{}", answer.body);
    Ok(if answer.status < 300 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(REFUSED)
    })
}

fn status(arguments: &Arguments) -> Result<ExitCode, String> {
    check_controls(arguments)?;
    let request = read_request("status");
    let mut all = Vec::new();
    let mut answered = 0;
    for control in &arguments.controls {
        let answer = client::send_once(control, &request);
        answered += usize::from(answer.is_some());
        let body = answer.map_or(Value::Null, |answer| answer.body);
        all.push((control.clone(), body));
    }
    output::print_status(&all, arguments.json);
    Ok(if answered == 0 {
        ExitCode::from(NO_ANSWER)
    } else {
        ExitCode::SUCCESS
    })
}

fn list(arguments: &Arguments, kind: &str) -> Result<ExitCode, String> {
    check_controls(arguments)?;
    let Some(answer) = client::send(&arguments.controls, &read_request("configuration")) else {
        return Ok(no_answer());
    };
    let key = if kind == "engines" { "backends" } else { kind };
    let things = answer.body.get(key).cloned().unwrap_or(Value::Null);
    let is_engine = |thing: &Value| thing["registration"]["kind"].as_str() == Some("engine");
    output::print_map(&things, arguments.json, |thing| {
        kind != "engines" || is_engine(thing)
    });
    Ok(ExitCode::SUCCESS)
}

/// Members and orders, as the leader sees them.
fn show_status_part(arguments: &Arguments, part: &str) -> Result<ExitCode, String> {
    check_controls(arguments)?;
    let statuses = arguments
        .controls
        .iter()
        .filter_map(|control| client::send_once(control, &read_request("status")));
    let leader = statuses
        .map(|answer| answer.body)
        .find(|body| body["holds_lease"].as_bool() == Some(true));
    let Some(status) = leader else {
        return Ok(no_answer());
    };
    output::print_map(&status[part], arguments.json, |_| true);
    if part == "members" && !arguments.json {
        garnet_runtime::print_line!("survives_one_loss={}", status["survives_one_loss"]);
    }
    Ok(ExitCode::SUCCESS)
}

fn read_request(what: &str) -> AdminRequest {
    AdminRequest {
        method: "GET",
        path: format!("/admin/v1/{what}"),
        content_type: "",
        body: Vec::new(),
        command_id: String::new(),
    }
}

// ---- Changing ----

fn put_policy(arguments: &Arguments, name: &str, file: &str) -> Result<ExitCode, String> {
    let document = read_file(Path::new(file)).map_err(|findings| findings.to_string())?;
    if let Err(findings) = Policy::compile(file, &document) {
        eprintln!("{findings}");
        return Ok(ExitCode::from(REFUSED));
    }
    let path = format!("policies/{name}");
    send_change(arguments, "PUT", &path, TOML, document.into_bytes())
}

fn put_routes(arguments: &Arguments, file: &str) -> Result<ExitCode, String> {
    let checked = check_routes(file)?;
    if checked != ExitCode::SUCCESS {
        return Ok(checked);
    }
    let document = read_file(Path::new(file)).map_err(|findings| findings.to_string())?;
    send_change(arguments, "PUT", "routes", JSON, document.into_bytes())
}

fn change(
    arguments: &Arguments,
    method: &'static str,
    path: String,
    body: Option<Value>,
) -> Result<ExitCode, String> {
    let bytes = body.map_or_else(Vec::new, |body| body.to_string().into_bytes());
    send_change(arguments, method, &path, JSON, bytes)
}

fn send_change(
    arguments: &Arguments,
    method: &'static str,
    path: &str,
    content_type: &'static str,
    body: Vec<u8>,
) -> Result<ExitCode, String> {
    check_controls(arguments)?;
    let mut options = vec![format!("wait={}", arguments.wait)];
    if let Some(revision) = arguments.expected_revision {
        options.push(format!("expected_revision={revision}"));
    }
    let drawn = || format!("{:016x}", rand::random::<u64>());
    let request = AdminRequest {
        method,
        path: format!("/admin/v1/{path}?{}", options.join("&")),
        content_type,
        body,
        command_id: arguments.command_id.clone().unwrap_or_else(drawn),
    };
    let Some(answer) = client::send(&arguments.controls, &request) else {
        eprintln!("command id: {}", request.command_id);
        return Ok(no_answer());
    };
    output::print_answer(&answer, arguments.json);
    Ok(exit_code(arguments, &answer))
}

fn exit_code(arguments: &Arguments, answer: &AdminAnswer) -> ExitCode {
    let code = answer.body["code"].as_str().unwrap_or_default();
    let in_force = answer.body["in_force"].as_bool() == Some(true);
    match code {
        "accepted" if arguments.wait && !in_force => ExitCode::from(NOT_IN_FORCE),
        "accepted" => ExitCode::SUCCESS,
        "conflict" => ExitCode::from(CONFLICT),
        _ => ExitCode::from(REFUSED),
    }
}

fn check_controls(arguments: &Arguments) -> Result<(), String> {
    if arguments.controls.is_empty() {
        return Err("--controls or GARNET_CONTROLS must name the replicas".to_owned());
    }
    Ok(())
}

fn no_answer() -> ExitCode {
    eprintln!("no leader answered");
    ExitCode::from(NO_ANSWER)
}
