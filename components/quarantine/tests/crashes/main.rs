//! Suspicion and refusal of requests that are running when engines crash.

mod log;
mod prompt_log;
mod prompts;
mod tracker;

use garnet_quarantine::{
    EndedRun, EngineStart, RequestFingerprint, RequestIdentity, RunEnd, RunReport,
};
use garnet_types::{BackendId, Millis};

fn request(name: &str) -> RequestFingerprint {
    let identity = RequestIdentity {
        tenant: None,
        method: "POST",
        host: "shop.example",
        path: name,
        query: None,
        body: b"",
    };
    identity.fingerprint()
}

fn engine(name: &str) -> EngineStart {
    EngineStart {
        backend: BackendId::new(name),
        incarnation: 0,
    }
}

fn crashed(name: &str, at: &str) -> EndedRun {
    EndedRun {
        fingerprint: request(name),
        end: RunEnd::Crashed(engine(at)),
        ago: Millis::ZERO,
    }
}

fn completed(name: &str) -> EndedRun {
    EndedRun {
        fingerprint: request(name),
        end: RunEnd::Completed,
        ago: Millis::ZERO,
    }
}

fn report(runs: Vec<EndedRun>) -> RunReport {
    RunReport { runs, through: 1 }
}
