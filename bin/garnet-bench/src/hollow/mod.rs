//! `garnet-bench hollow`: slopes of each role's cost, from hollow fleets.
//!
//! The replicas and the gateway that are measured are the real state machines
//! with their real codecs; what surrounds them is only its messages. Virtual
//! time, one thread.

mod control;
mod fit;
mod gateway;
mod group;
mod meter;
mod size;

use control::ControlFigures;
use fit::Fit;
use gateway::GatewayFigures;
use serde_json::{Value, json};
use size::{Size, TARGET};

use crate::options::Options;

const HELP: &str = "\
Usage: garnet-bench hollow [OPTIONS]

Without sizes: sweeps each of them over five points, fits a line, and measures
the whole target beside it. With sizes: measures that one fleet.

  --gateways N   hollow gateways that watch the control group
  --engines N    hollow engines
  --tenants N    tenants, each with one session
  --claims N     claims with their results, a second (default 0)
  --requests N   requests a second of the measured gateway (default 7)
  --changes N    changes of the configuration a second (default 0)
  --seconds N    seconds of virtual time that are measured (default 10)
  --json         one JSON object

The heap is counted only in a build with `--features count-heap`.
Exit codes: 0 measured, 1 the fleet was not ready, 2 wrong usage.
";

/// Shares of the target in a sweep.
const SWEEP: [f64; 5] = [0.1, 0.25, 0.5, 0.75, 1.0];
/// Size of what a sweep does not change.
const BASE: Size = Size {
    gateways: 42,
    engines: 60,
    tenants: 2500,
    claims_per_second: 0,
    requests_per_second: 7,
    changes_per_second: 0,
};
/// End of the sweep over claims a second.
const MOST_CLAIMS: usize = 800;
/// End of the sweep over changes a second.
const MOST_CHANGES: usize = 20;
/// End of the sweep over a gateway's requests a second.
const MOST_REQUESTS: usize = 200;

pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        print!("{HELP}");
        return Ok(true);
    }
    let seconds = options.value("seconds", 10_u64)?;
    let single = options.text("gateways").is_some();
    let size = Size {
        gateways: options.value("gateways", BASE.gateways)?,
        engines: options.value("engines", BASE.engines)?,
        tenants: options.value("tenants", BASE.tenants)?,
        claims_per_second: options.value("claims", 0)?,
        requests_per_second: options.value("requests", BASE.requests_per_second)?,
        changes_per_second: options.value("changes", 0)?,
    };
    options.check_all_asked()?;
    if [size.gateways, size.engines, size.tenants].contains(&0) {
        return Err("--gateways, --engines and --tenants must be at least 1".to_owned());
    }
    let result = if single {
        measure_one(size, seconds)
    } else {
        sweep_all(seconds)
    };
    match result {
        Ok(value) if options.flag("json") => println!("{value}"),
        Ok(value) => print_lines("", &value),
        Err(message) => {
            eprintln!("garnet-bench: {message}");
            return Ok(false);
        }
    }
    Ok(true)
}

fn measure_one(size: Size, seconds: u64) -> Result<Value, String> {
    let control = control::measure(size, seconds)?;
    let gateway = gateway::measure(size, seconds)?;
    Ok(json!({"control": control, "gateway": gateway}))
}

/// One size that is varied, and how.
struct Sweep {
    name: &'static str,
    end: usize,
    set: fn(&mut Size, usize),
}

const CONTROL_SWEEPS: [Sweep; 5] = [
    Sweep {
        name: "gateways",
        end: TARGET.gateways,
        set: |size, value| size.gateways = value,
    },
    Sweep {
        name: "engines",
        end: TARGET.engines,
        set: |size, value| size.engines = value,
    },
    Sweep {
        name: "tenants",
        end: TARGET.tenants,
        set: |size, value| size.tenants = value,
    },
    Sweep {
        name: "claims_per_second",
        end: MOST_CLAIMS,
        set: |size, value| size.claims_per_second = value,
    },
    Sweep {
        name: "changes_per_second",
        end: MOST_CHANGES,
        set: |size, value| size.changes_per_second = value,
    },
];

const GATEWAY_SWEEPS: [Sweep; 3] = [
    Sweep {
        name: "engines",
        end: TARGET.engines,
        set: |size, value| size.engines = value,
    },
    Sweep {
        name: "tenants",
        end: TARGET.tenants,
        set: |size, value| size.tenants = value,
    },
    Sweep {
        name: "requests_per_second",
        end: MOST_REQUESTS,
        set: |size, value| size.requests_per_second = value,
    },
];

impl Sweep {
    fn points(&self) -> impl Iterator<Item = (f64, Size)> + '_ {
        SWEEP.iter().map(|share| {
            let value = ((self.end as f64 * share) as usize).max(1);
            let mut size = BASE;
            (self.set)(&mut size, value);
            (value as f64, size)
        })
    }
}

fn sweep_all(seconds: u64) -> Result<Value, String> {
    let mut control = serde_json::Map::new();
    for sweep in &CONTROL_SWEEPS {
        let mut points = Vec::new();
        for (value, size) in sweep.points() {
            points.push((value, control::measure(size, seconds)?));
        }
        control.insert(sweep.name.to_owned(), control_fits(&points));
    }
    let mut gateway = serde_json::Map::new();
    for sweep in &GATEWAY_SWEEPS {
        let mut points = Vec::new();
        for (value, size) in sweep.points() {
            points.push((value, gateway::measure(size, seconds)?));
        }
        gateway.insert(sweep.name.to_owned(), gateway_fits(&points));
    }
    Ok(json!({
        "seconds": seconds,
        "base": BASE,
        "control_slopes": control,
        "gateway_slopes": gateway,
        "target": measure_one(TARGET, seconds)?,
    }))
}

fn fit_of<T>(points: &[(f64, T)], pick: fn(&T) -> f64) -> Fit {
    let picked: Vec<(f64, f64)> = points
        .iter()
        .map(|(size, figures)| (*size, pick(figures)))
        .collect();
    Fit::through(&picked)
}

fn control_fits(points: &[(f64, ControlFigures)]) -> Value {
    let fit = |pick: fn(&ControlFigures) -> f64| fit_of(points, pick);
    json!({
        "leader_cpu_percent": fit(|one| one.leader_cpu_percent),
        "follower_cpu_percent": fit(|one| one.follower_cpu_percent),
        "leader_longest_ms": fit(|one| one.leader_longest_ms),
        "replica_heap_mb": fit(|one| one.replica_heap_mb),
        "state_mb": fit(|one| one.state_mb),
        "leader_messages_per_s": fit(|one| one.leader_messages_per_s),
        "leader_gateway_kb_per_s": fit(|one| one.leader_gateway_kb_per_s),
        "leader_peer_kb_per_s": fit(|one| one.leader_peer_kb_per_s),
        "leader_engine_kb_per_s": fit(|one| one.leader_engine_kb_per_s),
        "list_kb_per_s": fit(|one| one.list_kb_per_s),
        "gateway_watch_kb_per_s": fit(|one| one.gateway_watch_kb_per_s),
        "gateway_load_mb": fit(|one| one.gateway_load_mb),
    })
}

fn gateway_fits(points: &[(f64, GatewayFigures)]) -> Value {
    let fit = |pick: fn(&GatewayFigures) -> f64| fit_of(points, pick);
    json!({
        "idle_cpu_percent": fit(|one| one.idle_cpu_percent),
        "cpu_percent": fit(|one| one.cpu_percent),
        "request_us": fit(|one| one.request_us),
        "heap_mb": fit(|one| one.heap_mb),
        "reports_per_s": fit(|one| one.reports_per_s),
        "report_kb_per_s": fit(|one| one.report_kb_per_s),
    })
}

/// Nested figures as lines of `path=value`.
fn print_lines(path: &str, value: &Value) {
    match value.as_object() {
        Some(object) => {
            for (name, inner) in object {
                let separator = if path.is_empty() { "" } else { "." };
                print_lines(&format!("{path}{separator}{name}"), inner);
            }
        }
        None => println!("{path}={value}"),
    }
}
