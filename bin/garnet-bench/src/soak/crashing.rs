//! A request that crashes each engine that runs it, sent again and again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Timer;

use super::Soak;
use super::fleet::{CRASHES, ENGINES, GATEWAYS, Process};
use super::streams::ask;

/// How long it comes.
const COMES_FOR: Duration = Duration::from_secs(8);
/// Pause between two sendings of one caller.
const PAUSE: Duration = Duration::from_millis(150);
/// An engine that ended is started again after this time.
const BACK_AFTER: Duration = Duration::from_secs(1);
const LOOK_AGAIN: Duration = Duration::from_millis(5);
/// Crashes after which it must be stopped.
const BORNE: usize = 3;
/// Time in which both gateways must know.
const CONTACT: Duration = Duration::from_secs(3);
/// Engines that may end after that.
const LATE_ENDS: usize = 3;

/// Sends such a request at all gateways, and starts the engines that it ends
/// again.
pub(super) async fn crash_engines(soak: &Rc<Soak>) -> Result<(), String> {
    let over = Rc::new(Cell::new(false));
    let prompt = format!("{CRASHES} {}", soak.elapsed_ms());
    let mut callers = Vec::new();
    for gateway in 0..GATEWAYS {
        let comes = come_again(Rc::clone(soak), gateway, prompt.clone(), Rc::clone(&over));
        callers.push(soak.executor.spawn(comes));
    }
    let ended = keep_engines(soak).await;
    over.set(true);
    for caller in callers {
        caller.await;
    }
    // One that was under way may have ended another engine meanwhile.
    restart_ended(soak)?;
    let ended = ended?;
    if let Some(finding) = judge(&ended) {
        soak.seen.borrow_mut().broken.push(finding);
    }
    Ok(())
}

async fn come_again(soak: Rc<Soak>, gateway: usize, prompt: String, over: Rc<Cell<bool>>) {
    while !over.get() {
        let address = soak.fleet.borrow().gateways()[gateway].clone();
        let _outcome = ask(&soak, &address, &prompt).await;
        Timer::after(PAUSE).await;
    }
}

/// Notes when engines end, and starts them again.
async fn keep_engines(soak: &Rc<Soak>) -> Result<Vec<Instant>, String> {
    let began = Instant::now();
    let mut ended = Vec::new();
    let mut down: [Option<Instant>; ENGINES] = [None; ENGINES];
    while began.elapsed() < COMES_FOR {
        for (place, down) in down.iter_mut().enumerate() {
            let process = Process::Engine(place);
            match *down {
                None if soak.fleet.borrow_mut().has_ended(process) => {
                    *down = Some(Instant::now());
                    ended.push(Instant::now());
                }
                Some(since) if since.elapsed() >= BACK_AFTER => {
                    soak.fleet.borrow_mut().restart(process)?;
                    *down = None;
                }
                _ => {}
            }
        }
        Timer::after(LOOK_AGAIN).await;
    }
    Ok(ended)
}

fn restart_ended(soak: &Rc<Soak>) -> Result<(), String> {
    let mut fleet = soak.fleet.borrow_mut();
    for place in 0..ENGINES {
        let process = Process::Engine(place);
        if fleet.has_ended(process) {
            fleet.restart(process)?;
        }
    }
    Ok(())
}

/// What is wrong with the moments at which engines ended.
pub(super) fn judge(ended: &[Instant]) -> Option<String> {
    let third = *ended.get(BORNE - 1)?;
    let is_late = |at: &&Instant| at.duration_since(third) > CONTACT;
    let late = ended.iter().filter(is_late).count();
    let all = ended.len();
    (late > LATE_ENDS).then(|| format!("a crashing request ended {all} engines, {late} too late"))
}
