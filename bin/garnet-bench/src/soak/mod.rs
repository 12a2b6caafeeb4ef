//! The real programs as processes of this machine, with faults injected from
//! outside, and the promises checked by what callers, operators and back ends
//! see.

mod callers;
mod checks;
mod crashing;
mod fault;
mod fleet;
mod operators;
mod proxy;
mod slot;
mod streams;
mod striker;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use garnet_runtime::HttpClient;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use smol::{LocalExecutor, Timer};

use crate::options::Options;
use checks::{Journals, Verdict};
use fault::FaultKind;
use fleet::Fleet;

const HELP: &str = "\
Usage: garnet-bench soak [--seconds N] [--seed N] [--faults KIND,...]

  --seconds N   how long faults strike (default 30)
  --seed N      what strikes when and where (default: drawn)
  --faults K,.. the kinds that may strike (default: all); see docs/proof.md
  --json        one JSON object, which `garnet-bench report` draws
  --keep DIR    keeps settings, data and logs there (default: none are kept)

The programs are taken from the folder that garnet-bench itself lies in.
";

/// Calls under way at once.
const CALLERS: usize = 12;
/// Streams under way at once.
const STREAMS: usize = 6;
/// Longest time until the fleet serves, at first and after the last fault.
const SETTLING_TIME: Duration = Duration::from_secs(60);
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// What all tasks of a soak share.
struct Soak {
    fleet: RefCell<Fleet>,
    http: HttpClient,
    executor: Rc<LocalExecutor<'static>>,
    seen: RefCell<checks::Seen>,
    started: Instant,
    over: std::cell::Cell<bool>,
}

impl Soak {
    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Runs the verb; `false` when a promise was broken.
pub(crate) fn run(options: &Options) -> Result<bool, String> {
    if options.flag("help") {
        garnet_runtime::print_out!("{HELP}");
        return Ok(true);
    }
    let seconds = options.value("seconds", 30_u64)?;
    let seed = options.value("seed", rand::rng().random_range(0..1_000_000_000_u64))?;
    let kinds = FaultKind::parse_list(options.text("faults"))?;
    let keep = options.text("keep").map(PathBuf::from);
    options.check_all_asked()?;
    let executor = Rc::new(LocalExecutor::new());
    let soaking = soak(Rc::clone(&executor), seconds, seed, kinds, keep);
    let verdict = smol::block_on(executor.run(soaking))?;
    if options.flag("json") {
        let report = serde_json::to_string_pretty(&verdict.report());
        garnet_runtime::print_line!("{}", report.map_err(|error| error.to_string())?);
    } else {
        garnet_runtime::print_out!("{verdict}");
    }
    Ok(verdict.holds())
}

async fn soak(
    executor: Rc<LocalExecutor<'static>>,
    seconds: u64,
    seed: u64,
    kinds: Vec<FaultKind>,
    keep: Option<PathBuf>,
) -> Result<Verdict, String> {
    let fleet = Fleet::start(&executor, keep).await?;
    let soak = Rc::new(Soak {
        fleet: RefCell::new(fleet),
        http: HttpClient::new(Rc::clone(&executor)),
        executor: Rc::clone(&executor),
        seen: RefCell::default(),
        started: Instant::now(),
        over: std::cell::Cell::new(false),
    });
    wait_until_served(&soak, seed, "first").await?;
    let mut tasks = Vec::new();
    for number in 0..CALLERS {
        let random = Pcg64::seed_from_u64(seed ^ (number as u64 + 1) << 32);
        tasks.push(executor.spawn(callers::call_until_over(Rc::clone(&soak), number, random)));
    }
    for number in 0..STREAMS {
        let random = Pcg64::seed_from_u64(!seed ^ (number as u64 + 1) << 32);
        tasks.push(executor.spawn(streams::ask_until_over(Rc::clone(&soak), number, random)));
    }
    tasks.push(executor.spawn(operators::write_until_over(
        Rc::clone(&soak),
        Pcg64::seed_from_u64(seed ^ 0xA),
    )));
    tasks.push(executor.spawn(operators::read_until_over(
        Rc::clone(&soak),
        Pcg64::seed_from_u64(seed ^ 0xB),
    )));
    let random = Pcg64::seed_from_u64(seed);
    striker::strike(&soak, Duration::from_secs(seconds), &kinds, random).await?;
    wait_until_served(&soak, seed, "last").await?;
    soak.over.set(true);
    for task in tasks {
        task.await;
    }
    let journals = Journals::collect(&soak).await?;
    let configuration = operators::configuration_at_the_end(&soak).await?;
    soak.fleet.borrow_mut().stop();
    let verdict = soak
        .seen
        .borrow()
        .verdict(seed, &kinds, &journals, &configuration);
    Ok(verdict)
}

/// Waits until a call is served by each gateway.
async fn wait_until_served(soak: &Rc<Soak>, seed: u64, when: &str) -> Result<(), String> {
    let began = Instant::now();
    let mut number = 0_u64;
    let gateways = soak.fleet.borrow().gateways();
    for gateway in gateways {
        while !callers::probe(soak, &gateway, &format!("probe-{when}-{number}")).await {
            number += 1;
            if began.elapsed() > SETTLING_TIME {
                return Err(format!(
                    "seed {seed}: the gateway {gateway} serves nothing for {} s",
                    SETTLING_TIME.as_secs()
                ));
            }
            Timer::after(LOOK_AGAIN).await;
        }
        number += 1;
    }
    Ok(())
}
