//! Lets faults strike, several at a time, each undone after its time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use garnet_engine_api::{Faults, paths};
use rand::RngExt;
use rand_pcg::Pcg64;
use rustix::process::Signal;
use smol::Timer;

use super::checks::PlannedStop;
use super::crashing::crash_engines;
use super::fault::FaultKind;
use super::fleet::{APPLICATIONS, ENGINES, GATEWAYS, Process, REPLICAS};
use super::proxy::LinkMode;
use super::{LOOK_AGAIN, Soak};
use garnet_runtime::client::build_request;

/// How long a fault lasts.
const SHORTEST_MS: u64 = 200;
const LONGEST_MS: u64 = 2_500;
/// Backoff that an overloaded application requests, in seconds.
const RETRY_AFTER_S: &str = "1.5";
/// An answer that ends with its connection has fewer bytes of its body; whole ones have about
/// a hundred.
const MAX_UNFRAMED_BYTES: usize = 200;
/// Pause before the next one strikes, while earlier ones may go on.
const LONGEST_PAUSE_MS: u64 = 1_200;
/// A process that has not ended this long after SIGTERM does not stop.
const LONGEST_STOP: Duration = Duration::from_secs(30);
const LINK_DELAY: Duration = Duration::from_millis(150);
const PATIENCE: Duration = Duration::from_secs(5);

/// What a fault strikes; nothing is struck twice at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    Replica(usize),
    Group,
    Gateway(usize),
    Application(usize),
    Engine(usize),
    Engines,
}

impl Target {
    fn overlaps(self, other: Target) -> bool {
        let is_group = |one, other| {
            matches!(
                (one, other),
                (Target::Group, Target::Replica(_)) | (Target::Engines, Target::Engine(_))
            )
        };
        self == other || is_group(self, other) || is_group(other, self)
    }
}

type Busy = Rc<RefCell<Vec<Target>>>;

/// Strikes until the time is over, and undoes everything.
pub(super) async fn strike(
    soak: &Rc<Soak>,
    time: Duration,
    kinds: &[FaultKind],
    mut random: Pcg64,
) -> Result<(), String> {
    let began = Instant::now();
    let busy = Busy::default();
    let mut under_way = Vec::new();
    let mut turn = random.random_range(0..kinds.len());
    while began.elapsed() < time {
        // Each kind has its turn, so that short soaks see all of them.
        let kind = kinds[turn % kinds.len()];
        turn += 1;
        let target = free_target(kind, &busy, &mut random).await;
        let lasts = Duration::from_millis(random.random_range(SHORTEST_MS..LONGEST_MS));
        let (soak, busy) = (Rc::clone(soak), Rc::clone(&busy));
        let executor = Rc::clone(&soak.executor);
        under_way.push(executor.spawn(async move {
            let outcome = strike_once(&soak, kind, target, lasts, &busy).await;
            busy.borrow_mut().retain(|other| *other != target);
            outcome
        }));
        let pause = random.random_range(1..LONGEST_PAUSE_MS);
        Timer::after(Duration::from_millis(pause)).await;
    }
    for fault in under_way {
        fault.await?;
    }
    Ok(())
}

/// Draws until a target is not struck by another fault, and takes it.
async fn free_target(kind: FaultKind, busy: &Busy, random: &mut Pcg64) -> Target {
    loop {
        let target = target_of(kind, random);
        let is_free = !busy.borrow().iter().any(|other| other.overlaps(target));
        if is_free {
            busy.borrow_mut().push(target);
            return target;
        }
        Timer::after(LOOK_AGAIN).await;
    }
}

fn target_of(kind: FaultKind, random: &mut Pcg64) -> Target {
    match kind {
        FaultKind::GroupKill => Target::Group,
        FaultKind::CrashingRequest => Target::Engines,
        FaultKind::GatewayKill | FaultKind::GatewayPause | FaultKind::GatewayStop => {
            Target::Gateway(random.random_range(0..GATEWAYS))
        }
        FaultKind::AnswerLost
        | FaultKind::BackendPause
        | FaultKind::BackendRefuse
        | FaultKind::BackendOverload
        | FaultKind::BackendUnframed => Target::Application(random.random_range(0..APPLICATIONS)),
        FaultKind::EngineKill | FaultKind::EnginePause | FaultKind::EngineReplace => {
            Target::Engine(random.random_range(0..ENGINES))
        }
        _ => Target::Replica(random.random_range(0..REPLICAS)),
    }
}

async fn strike_once(
    soak: &Rc<Soak>,
    kind: FaultKind,
    target: Target,
    lasts: Duration,
    busy: &Busy,
) -> Result<(), String> {
    match (kind, target) {
        (FaultKind::GroupKill, _) => kill_all(soak, lasts).await?,
        (FaultKind::CrashingRequest, _) => crash_engines(soak).await?,
        (FaultKind::ReplicaKill, Target::Replica(place)) => {
            kill(soak, Process::Replica(place), lasts).await?;
        }
        (FaultKind::GatewayKill, Target::Gateway(place)) => {
            kill(soak, Process::Gateway(place), lasts).await?;
        }
        (FaultKind::EngineKill, Target::Engine(place)) => {
            kill(soak, Process::Engine(place), lasts).await?;
        }
        (FaultKind::EngineReplace, Target::Engine(place)) => {
            replace_engine(soak, place, lasts).await?;
        }
        (FaultKind::EnginePause, Target::Engine(place)) => {
            pause(soak, Process::Engine(place), lasts).await;
        }
        (FaultKind::ReplicaPause, Target::Replica(place)) => {
            pause(soak, Process::Replica(place), lasts).await;
        }
        (FaultKind::GatewayPause, Target::Gateway(place)) => {
            pause(soak, Process::Gateway(place), lasts).await;
        }
        (FaultKind::ReplicaStop, Target::Replica(place)) => {
            stop(soak, Process::Replica(place)).await?;
        }
        (FaultKind::GatewayStop, Target::Gateway(place)) => {
            stop_gateway(soak, place, busy).await?;
        }
        (_, Target::Replica(place)) => disturb_link(soak, kind, place, lasts).await,
        (_, Target::Application(place)) => disturb_application(soak, kind, place, lasts).await?,
        _ => return Err(format!("{kind} can't strike {target:?}")),
    }
    soak.seen.borrow_mut().note_struck(kind);
    Ok(())
}

async fn kill(soak: &Soak, process: Process, lasts: Duration) -> Result<(), String> {
    soak.fleet.borrow().signal(process, Signal::KILL);
    wait_for_end(soak, process).await?;
    Timer::after(lasts).await;
    soak.fleet.borrow_mut().restart(process)
}

/// Stops an engine, half of the times as planned, and starts it as another build.
async fn replace_engine(soak: &Soak, place: usize, lasts: Duration) -> Result<(), String> {
    let process = Process::Engine(place);
    let is_planned = lasts.as_millis().is_multiple_of(2);
    let signal = if is_planned {
        Signal::TERM
    } else {
        Signal::KILL
    };
    soak.fleet.borrow().signal(process, signal);
    wait_for_end(soak, process).await?;
    let mut fleet = soak.fleet.borrow_mut();
    fleet.replace_build(place);
    fleet.restart(process)
}

async fn kill_all(soak: &Soak, lasts: Duration) -> Result<(), String> {
    for place in 0..REPLICAS {
        soak.fleet
            .borrow()
            .signal(Process::Replica(place), Signal::KILL);
    }
    for place in 0..REPLICAS {
        wait_for_end(soak, Process::Replica(place)).await?;
    }
    Timer::after(lasts).await;
    for place in 0..REPLICAS {
        soak.fleet.borrow_mut().restart(Process::Replica(place))?;
    }
    Ok(())
}

async fn pause(soak: &Soak, process: Process, lasts: Duration) {
    soak.fleet.borrow().signal(process, Signal::STOP);
    Timer::after(lasts).await;
    soak.fleet.borrow().signal(process, Signal::CONT);
}

async fn stop(soak: &Soak, process: Process) -> Result<(), String> {
    soak.fleet.borrow().signal(process, Signal::TERM);
    wait_for_end(soak, process).await?;
    soak.fleet.borrow_mut().restart(process)
}

async fn stop_gateway(soak: &Soak, place: usize, busy: &Busy) -> Result<(), String> {
    let gateway = soak.fleet.borrow().gateways()[place].clone();
    let others = || {
        let is_back_end = |target: &Target| {
            !matches!(
                target,
                Target::Replica(_) | Target::Group | Target::Gateway(_)
            )
        };
        busy.borrow().iter().any(is_back_end)
    };
    let from_ms = soak.elapsed_ms();
    let mut beside_others = others();
    soak.fleet
        .borrow()
        .signal(Process::Gateway(place), Signal::TERM);
    let began = Instant::now();
    while !soak.fleet.borrow_mut().has_ended(Process::Gateway(place)) {
        beside_others |= others();
        if began.elapsed() > LONGEST_STOP {
            return Err(format!("the gateway {gateway} does not stop"));
        }
        Timer::after(LOOK_AGAIN).await;
    }
    let to_ms = soak.elapsed_ms();
    soak.seen.borrow_mut().stops.push(PlannedStop {
        gateway,
        from_ms,
        to_ms,
        beside_others,
    });
    soak.fleet.borrow_mut().restart(Process::Gateway(place))
}

async fn wait_for_end(soak: &Soak, process: Process) -> Result<(), String> {
    let began = Instant::now();
    while !soak.fleet.borrow_mut().has_ended(process) {
        if began.elapsed() > LONGEST_STOP {
            return Err(format!("{process:?} does not end"));
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    Ok(())
}

async fn disturb_link(soak: &Soak, kind: FaultKind, place: usize, lasts: Duration) {
    let mode = match kind {
        FaultKind::LinkDelay => LinkMode::Delay(LINK_DELAY),
        FaultKind::LinkReset => LinkMode::Reset,
        FaultKind::LinkOneWay => LinkMode::OneWay,
        _ => LinkMode::Silence,
    };
    let link = soak.fleet.borrow().link(place);
    link.mode.replace(mode);
    Timer::after(lasts).await;
    link.mode.replace(LinkMode::Pass);
}

async fn disturb_application(
    soak: &Soak,
    kind: FaultKind,
    place: usize,
    lasts: Duration,
) -> Result<(), String> {
    let faults = match kind {
        FaultKind::AnswerLost => Faults {
            lose_next_answer: true,
            ..Faults::default()
        },
        FaultKind::BackendPause => Faults {
            freeze_ms: u64::try_from(lasts.as_millis()).unwrap_or(LONGEST_MS),
            ..Faults::default()
        },
        FaultKind::BackendOverload => Faults {
            retry_after: RETRY_AFTER_S.to_owned(),
            ..Faults::default()
        },
        FaultKind::BackendUnframed => Faults {
            // The seed has drawn the time.
            unframed_bytes: Some(lasts.as_millis() as usize % MAX_UNFRAMED_BYTES),
            ..Faults::default()
        },
        _ => Faults {
            refuse: true,
            ..Faults::default()
        },
    };
    set_faults(soak, place, &faults).await?;
    Timer::after(lasts).await;
    set_faults(soak, place, &Faults::default()).await
}

async fn set_faults(soak: &Soak, place: usize, faults: &Faults) -> Result<(), String> {
    let application = soak.fleet.borrow().applications()[place].clone();
    let body = serde_json::to_vec(faults).map_err(|error| error.to_string())?;
    let request = build_request("POST", paths::APPLICATION_FAULTS, "application/json", body);
    let request = request.map_err(|error| error.to_string())?;
    let answer = soak.http.send(&application, request, PATIENCE).await;
    answer
        .map(|_| ())
        .map_err(|error| format!("{application} takes no faults: {error}"))
}
