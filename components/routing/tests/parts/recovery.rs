//! Simulates the load on an engine after a backoff that it requested from many gateways at the same
//! time, with the recovery and, for comparison, with an abrupt end of the backoff.

use std::collections::VecDeque;

use garnet_routing::{Backoff, Probe, RetryAfter, backoff_jitter};
use garnet_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const BACKOFF: RetryAfter = RetryAfter::new(Millis(3_000));
/// Requests that the engine runs concurrently.
const SLOTS: usize = 64;
/// Time that each request takes.
const SERVICE_TIME: Millis = Millis(200);
/// Requests that wait at the engine before it rejects further ones.
const QUEUE: usize = 16;

/// How a backoff ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Recovery,
    Abrupt,
}

/// The load that the engine received.
#[derive(Debug, Default)]
struct EngineLoad {
    rejected: usize,
    /// Highest number of requests in any 50 ms that begin before half a second after the backoff.
    max_in_50_ms: usize,
    served: usize,
}

/// A request at the engine.
struct Job {
    ends: Millis,
    gateway: usize,
    probe: Option<Probe>,
}

struct Gateway {
    backoff: Backoff,
    arrivals: VecDeque<Millis>,
}

/// Simulates `gateways` gateways with `per_s` requests a second in total that resume sending to an
/// engine, for `run` after it requested the backoff from all of them. The engine has recovered; if
/// its queue is full, it rejects a request and requests another backoff.
fn simulate(end: End, gateways: usize, per_s: f64, run: Millis, seed: u64) -> EngineLoad {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut all: Vec<Gateway> = (0..gateways)
        .map(|_| {
            let mut backoff = Backoff::default();
            let spread = match end {
                End::Recovery => backoff_jitter(BACKOFF, gateways as u64, random.random()),
                End::Abrupt => Millis::ZERO,
            };
            backoff.request(BACKOFF, spread, Millis::ZERO);
            let arrivals = VecDeque::new();
            Gateway { backoff, arrivals }
        })
        .collect();
    let requests = (per_s * run.as_secs_f64()) as usize;
    let mut times: Vec<u64> = (0..requests)
        .map(|_| random.random_range(0..run.0))
        .collect();
    times.sort_unstable();
    for time in times {
        let gateway = random.random_range(0..gateways);
        all[gateway].arrivals.push_back(Millis(time));
    }
    let mut jobs: Vec<Job> = Vec::new();
    let mut arrivals_at_engine = Vec::new();
    let mut load = EngineLoad::default();
    for now in (0..run.0).map(Millis) {
        for job in jobs.extract_if(.., |job| job.ends <= now) {
            load.served += 1;
            if let Some(probe) = job.probe {
                all[job.gateway].backoff.accepted(probe);
            }
        }
        for (number, gateway) in all.iter_mut().enumerate() {
            while gateway.arrivals.front().is_some_and(|at| *at <= now) {
                gateway.arrivals.pop_front();
                let may_send = match end {
                    End::Recovery => gateway.backoff.allows(now),
                    End::Abrupt => gateway.backoff.remaining(now).is_none(),
                };
                if !may_send {
                    // Another engine takes the request.
                    continue;
                }
                arrivals_at_engine.push(now);
                if jobs.len() >= SLOTS + QUEUE {
                    load.rejected += 1;
                    gateway.backoff.request(BACKOFF, Millis::ZERO, now);
                    continue;
                }
                let waits = jobs.len() / SLOTS;
                let probe = match end {
                    End::Recovery => gateway.backoff.sent(now),
                    End::Abrupt => None,
                };
                jobs.push(Job {
                    ends: now + Millis(SERVICE_TIME.0 * (1 + waits as u64)),
                    gateway: number,
                    probe,
                });
            }
        }
    }
    let in_50_ms = |from: &Millis| {
        let until = *from + Millis(50);
        arrivals_at_engine
            .iter()
            .filter(|at| *at >= from && **at < until)
            .count()
    };
    let first = arrivals_at_engine
        .iter()
        .filter(|at| **at < BACKOFF.span() + Millis(500));
    load.max_in_50_ms = first.map(in_50_ms).max().unwrap_or_default();
    load
}

/// Under high load, hundreds of requests arrive immediately after an abrupt end, and the engine has
/// to request another backoff at once.
#[test]
fn the_recovery_limits_the_burst_after_a_backoff() {
    for (gateways, per_s) in [(7, 4_000.0), (66, 4_000.0), (985, 4_000.0)] {
        let run = Millis(12_000);
        let abrupt = simulate(End::Abrupt, gateways, per_s, run, 1);
        let recovery = simulate(End::Recovery, gateways, per_s, run, 1);
        println!("{gateways} gateways, {per_s} a second: abrupt {abrupt:?}, recovery {recovery:?}");
        let results = format!("{abrupt:?} {recovery:?}");
        assert!(recovery.rejected <= abrupt.rejected, "{results}");
        assert!(recovery.served * 10 >= abrupt.served * 9, "{results}");
        assert!(
            recovery.max_in_50_ms * 2 <= abrupt.max_in_50_ms,
            "{results}"
        );
    }
}

/// If the engine could take all requests, the recovery costs little throughput.
#[test]
fn the_recovery_costs_a_healthy_engine_little() {
    for (gateways, per_s) in [(7, 100.0), (66, 100.0), (985, 100.0)] {
        let run = Millis(8_000);
        let abrupt = simulate(End::Abrupt, gateways, per_s, run, 2);
        let recovery = simulate(End::Recovery, gateways, per_s, run, 2);
        println!("{gateways} gateways, {per_s} a second: abrupt {abrupt:?}, recovery {recovery:?}");
        assert_eq!((abrupt.rejected, recovery.rejected), (0, 0));
        assert!(
            recovery.served * 10 >= abrupt.served * 8,
            "{abrupt:?} {recovery:?}"
        );
    }
}
