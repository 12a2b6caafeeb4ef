//! Faults and how a seed plans them.

use garnet_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::message::Host;

/// What a fault does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process ends at once and starts again later.
    Kill,
    /// The process ends and comes back with an empty disk.
    LoseDisk,
    /// The process ends in the middle of a save.
    TornWrite,
    /// The process stops and goes on later with its old belief.
    Freeze,
    /// All links of the process are cut, silently.
    Isolate,
    /// Messages of the process get out, none gets in.
    CutInbound,
    /// Messages get in, none gets out.
    CutOutbound,
    /// Messages are lost, repeated and reordered.
    BadNetwork,
    /// The leader's orders leave late, as if it had been paused between its
    /// last check and the sending.
    DelayOrders,
    /// The platform's list is empty for a while, or much older than usual.
    WrongMachineList,
    /// A planned stop, and a start afterwards.
    PlannedStop,
    /// The platform says that the machine is leaving, and later that it lives.
    Leaving,
    /// A request that crashes each engine that runs it comes again and again, at
    /// any gateway.
    CrashingRequest,
    /// The machine is suspended: all that runs on it stops, and the clocks that
    /// only count while it runs stop too.
    Suspend,
    /// The back end names a limit in its answers: it takes few requests from all
    /// gateways together.
    NameLimit,
    /// The back end rejects all requests and requests a backoff.
    Overload,
    /// A gateway is cut off from all back ends, silently, while callers, replicas and the
    /// other gateways still reach it.
    CutFromBackEnds,
    /// The application's responses end with their connection, some of them cut at any byte.
    UnframedResponses,
    /// An engine is stopped as planned, or killed, and starts again as another build.
    ReplaceBuild,
}

impl FaultKind {
    /// Every kind but those of [`FaultKind::SEPARATE`].
    pub const ALL: [FaultKind; 16] = [
        FaultKind::Kill,
        FaultKind::LoseDisk,
        FaultKind::TornWrite,
        FaultKind::Freeze,
        FaultKind::Isolate,
        FaultKind::CutInbound,
        FaultKind::CutOutbound,
        FaultKind::BadNetwork,
        FaultKind::DelayOrders,
        FaultKind::WrongMachineList,
        FaultKind::PlannedStop,
        FaultKind::Leaving,
        FaultKind::CrashingRequest,
        FaultKind::Suspend,
        FaultKind::NameLimit,
        FaultKind::Overload,
    ];

    /// Kinds that are drawn after the others, with draws of their own: what a
    /// seed draws of the others is the same with them and without.
    pub const ADDED: [FaultKind; 4] = [
        FaultKind::CrashingRequest,
        FaultKind::Suspend,
        FaultKind::NameLimit,
        FaultKind::Overload,
    ];

    /// Kinds that are planned only if they are named, like [`FaultKind::ADDED`].
    pub const SEPARATE: [FaultKind; 3] = [
        FaultKind::CutFromBackEnds,
        FaultKind::UnframedResponses,
        FaultKind::ReplaceBuild,
    ];

    /// Kinds that are no failure: everything must end well under them.
    pub const PLANNED: [FaultKind; 2] = [FaultKind::PlannedStop, FaultKind::Leaving];

    /// The name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            FaultKind::Kill => "kill",
            FaultKind::LoseDisk => "lose-disk",
            FaultKind::TornWrite => "torn-write",
            FaultKind::Freeze => "freeze",
            FaultKind::Isolate => "isolate",
            FaultKind::CutInbound => "cut-inbound",
            FaultKind::CutOutbound => "cut-outbound",
            FaultKind::BadNetwork => "bad-network",
            FaultKind::DelayOrders => "delay-orders",
            FaultKind::WrongMachineList => "wrong-machine-list",
            FaultKind::PlannedStop => "planned-stop",
            FaultKind::Leaving => "leaving",
            FaultKind::CrashingRequest => "crashing-request",
            FaultKind::Suspend => "suspend",
            FaultKind::NameLimit => "name-limit",
            FaultKind::Overload => "overload",
            FaultKind::CutFromBackEnds => "cut-from-back-ends",
            FaultKind::UnframedResponses => "unframed-responses",
            FaultKind::ReplaceBuild => "replace-build",
        }
    }

    /// The kind with a name, if there is one.
    pub fn from_name(name: &str) -> Option<Self> {
        FaultKind::ALL
            .into_iter()
            .chain(FaultKind::SEPARATE)
            .find(|kind| kind.as_str() == name)
    }
}

/// One fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// What it does.
    pub kind: FaultKind,
    /// To whom.
    pub host: Host,
    /// When.
    pub at: Millis,
    /// For how long.
    pub lasts: Millis,
}

/// Sizes that the planner of faults has to know.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Control replicas.
    pub controls: usize,
    /// Gateways.
    pub gateways: usize,
    /// Engines.
    pub engines: usize,
    /// Application instances.
    pub applications: usize,
}

/// Shortest and longest length of a fault.
const SHORTEST_MS: u64 = 10;
const LONGEST_MS: u64 = 20_000;
/// Parts the draws of [`FaultKind::ADDED`] from those of the others.
const ADDED_SEED: u64 = 0x6372_6173_6865_7300;

/// Draws the faults of a run: some alone, some in pairs at nearly the same
/// moment, some struck again just after they ended.
pub fn plan_faults(
    random: &mut Pcg64Mcg,
    kinds: &[FaultKind],
    sizes: Sizes,
    span: Millis,
    seed: u64,
) -> Vec<Fault> {
    let is_added =
        |kind: &&FaultKind| FaultKind::ADDED.contains(kind) || FaultKind::SEPARATE.contains(kind);
    let (added, others): (Vec<FaultKind>, Vec<FaultKind>) = kinds.iter().partition(is_added);
    let mut faults = plan_others(random, &others, sizes, span);
    faults.extend(plan_added(&added, sizes, span, seed));
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Each kind strikes up to three times, in each run that may have it.
fn plan_added(kinds: &[FaultKind], sizes: Sizes, span: Millis, seed: u64) -> Vec<Fault> {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ ADDED_SEED);
    let mut faults = Vec::new();
    for kind in kinds {
        for _ in 0..random.random_range(1..=3) {
            let fault = draw(&mut random, &[*kind], sizes, span);
            let lasts = match kind {
                FaultKind::CrashingRequest | FaultKind::NameLimit => {
                    Millis(random.random_range(5000..25_000))
                }
                FaultKind::CutFromBackEnds => Millis(random.random_range(6000..12_000)),
                _ => Millis(random.random_range(500..8000)),
            };
            faults.push(Fault { lasts, ..fault });
        }
    }
    faults
}

fn plan_others(
    random: &mut Pcg64Mcg,
    kinds: &[FaultKind],
    sizes: Sizes,
    span: Millis,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    if kinds.is_empty() {
        return faults;
    }
    let count = random.random_range(1..=6);
    for _ in 0..count {
        let fault = draw(random, kinds, sizes, span);
        faults.push(fault);
        if random.random_bool(0.4) {
            // Together with another one.
            let mut other = draw(random, kinds, sizes, span);
            other.at = fault.at + Millis(random.random_range(0..500));
            faults.push(other);
        }
        if random.random_bool(0.3) {
            // Twice: again right after it was repaired.
            let mut again = draw(random, kinds, sizes, span);
            again.kind = fault.kind;
            again.at = fault.at + fault.lasts + Millis(random.random_range(0..2000));
            again.host = host_for(random, fault.kind, sizes);
            faults.push(again);
        }
    }
    let mut disks = 0;
    faults.retain(|fault| {
        // More than one lost disk of three without a repair between them is
        // beyond what any quorum bears; the repair has its own scenario.
        disks += u32::from(fault.kind == FaultKind::LoseDisk);
        fault.kind != FaultKind::LoseDisk || disks <= 1
    });
    faults
}

fn draw(random: &mut Pcg64Mcg, kinds: &[FaultKind], sizes: Sizes, span: Millis) -> Fault {
    let kind = kinds[random.random_range(0..kinds.len())];
    let at = Millis(random.random_range(5000..span.0.max(5001)));
    // Lengths are spread evenly over orders of magnitude.
    let scale = (LONGEST_MS as f64 / SHORTEST_MS as f64).ln();
    let length = SHORTEST_MS as f64 * (random.random::<f64>() * scale).exp();
    Fault {
        kind,
        host: host_for(random, kind, sizes),
        at,
        lasts: Millis(length as u64),
    }
}

fn host_for(random: &mut Pcg64Mcg, kind: FaultKind, sizes: Sizes) -> Host {
    let control = Host::Control(random.random_range(0..sizes.controls));
    let gateway = Host::Gateway(random.random_range(0..sizes.gateways));
    let engine = Host::Engine(random.random_range(0..sizes.engines));
    let application = Host::Application(random.random_range(0..sizes.applications));
    let choice = random.random_range(0..10);
    match kind {
        FaultKind::LoseDisk | FaultKind::TornWrite | FaultKind::DelayOrders => control,
        FaultKind::WrongMachineList => Host::Platform,
        FaultKind::CrashingRequest => Host::Callers,
        FaultKind::CutFromBackEnds => gateway,
        FaultKind::UnframedResponses => application,
        FaultKind::ReplaceBuild => engine,
        FaultKind::Leaving | FaultKind::NameLimit | FaultKind::Overload if choice < 5 => engine,
        FaultKind::Leaving | FaultKind::NameLimit | FaultKind::Overload => application,
        _ if choice < 4 => control,
        _ if choice < 6 => gateway,
        _ if choice < 8 => engine,
        _ => application,
    }
}
