//! The callers of an experiment: they ask as the demand says, come back when
//! they are told to, and count what was useful.

use std::collections::{BTreeMap, VecDeque};

use garnet_gateway::{Answer, Call, Work};
use garnet_planner::Mix;
use garnet_stand_in::text::is_expected_text;
use garnet_types::{Millis, ModelId, Refusal, RequestId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::demand::Demand;
use super::deployment::{Deployment, RequestKind, SESSIONS_OF_A_KIND};
use super::outcome::{MixReport, Outcome};
use crate::callers::{CallerCounts, Outgoing};
use crate::checker::{Checker, Invariant};
use crate::service_hosts::MODEL;

/// Time at the start that is not measured: caches and averages fill.
const WARM_UP: Millis = Millis::from_secs(20);
/// The demand is drawn in steps of this length.
const DRAWING_STEP: Millis = Millis(50);
/// Words that all prompts of a kind begin with.
const SHARED_WORDS: usize = 128;
/// A resend that would leave less time than this is not made.
const LEAST_TIME: Millis = Millis(300);
/// A caller that hears nothing for so long after its deadline gives up.
const PATIENCE: Millis = Millis(6000);
/// How long arrivals are remembered for [`MixTraffic::observed`].
const REMEMBERED: Millis = Millis::from_secs(10);
/// A caller whose connection ended comes back after this time.
const RECONNECT: Millis = Millis(300);

/// One request, however often it is sent.
#[derive(Debug, Clone)]
struct Ask {
    at: Millis,
    kind: usize,
    prompt_tokens: u64,
    output_tokens: u64,
    number: u64,
    /// Session of its kind that it belongs to, and so its tenant.
    session: usize,
    /// Gateway that its caller is connected to.
    gateway: usize,
}

/// One sending of a request.
#[derive(Debug)]
struct Sending {
    ask: Ask,
    tokens: u64,
    last_token_at: Option<Millis>,
}

/// The callers.
pub(crate) struct MixTraffic {
    deployment: Deployment,
    gateways: usize,
    start: Millis,
    span: Millis,
    arrivals: VecDeque<Ask>,
    /// What arrived lately, the newest last.
    recent: VecDeque<Ask>,
    open: BTreeMap<RequestId, Sending>,
    again: Vec<(Millis, Ask)>,
    next_request: u64,
    outcome: Outcome,
    pub(crate) counts: CallerCounts,
}

impl MixTraffic {
    /// Draws every arrival of a run beforehand, so that it is the same for
    /// all strategies.
    pub(crate) fn new(
        deployment: &Deployment,
        demand: &Demand,
        seed: u64,
        gateways: usize,
        start: Millis,
        span: Millis,
    ) -> Self {
        MixTraffic {
            arrivals: draw_arrivals(deployment, demand, seed, gateways, start, span),
            deployment: deployment.clone(),
            gateways,
            start,
            span,
            recent: VecDeque::new(),
            open: BTreeMap::new(),
            again: Vec::new(),
            next_request: 0,
            outcome: Outcome::new(),
            counts: CallerCounts::default(),
        }
    }

    /// Requests that arrive now, and when the next ones do.
    pub(crate) fn arrive(&mut self, now: Millis) -> (Vec<Outgoing>, Option<Millis>) {
        let mut outgoing = Vec::new();
        while self.arrivals.front().is_some_and(|ask| ask.at <= now) {
            if let Some(ask) = self.arrivals.pop_front() {
                if self.is_measured(&ask) {
                    self.outcome.offered(self.kind(&ask).name);
                }
                self.recent.push_back(ask.clone());
                outgoing.push(self.send(ask, now));
            }
        }
        self.forget_old(now);
        (outgoing, self.arrivals.front().map(|ask| ask.at))
    }

    /// What arrived within `window` and can't wait, in a second.
    pub(crate) fn observed(&self, now: Millis, window: Millis) -> Mix {
        let urgent = |ask: &&Ask| ask.kind < 2 && now.since(ask.at) < window;
        let mut mix = Mix::default();
        for ask in self.recent.iter().filter(urgent) {
            let (prompt, output) = (ask.prompt_tokens as f64, ask.output_tokens as f64);
            let prompt_bound = self.deployment.capacity.is_prompt_bound(prompt, output);
            let seconds = window.as_secs_f64();
            mix.requests += 1.0 / seconds;
            mix.prompt_bound += f64::from(u8::from(prompt_bound)) / seconds;
            mix.prompt_tokens += prompt / seconds;
            mix.output_tokens += output / seconds;
        }
        mix
    }

    fn forget_old(&mut self, now: Millis) {
        while self
            .recent
            .front()
            .is_some_and(|ask| now.since(ask.at) > REMEMBERED)
        {
            self.recent.pop_front();
        }
    }

    pub(crate) fn due_again(&mut self, now: Millis) -> Vec<Outgoing> {
        let due: Vec<Ask> = self
            .again
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, ask)| ask)
            .collect();
        due.into_iter().map(|ask| self.send(ask, now)).collect()
    }

    pub(crate) fn overdue(&self, now: Millis) -> Vec<RequestId> {
        let late = |sending: &Sending| now > self.useful_until(&sending.ask) + PATIENCE;
        self.open
            .iter()
            .filter(|(_, sending)| late(sending))
            .map(|(id, _)| *id)
            .collect()
    }

    pub(crate) fn open(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn tokens(
        &mut self,
        checker: &mut Checker,
        request: RequestId,
        first: u64,
        tokens: Vec<String>,
        now: Millis,
    ) {
        let Some(sending) = self.open.get_mut(&request) else {
            return;
        };
        let in_order = first == sending.tokens;
        sending.tokens += tokens.len() as u64;
        checker.check(Invariant::WholeOwnAnswer, in_order, now, || {
            format!("request {request} got token {first} out of order")
        });
        let before = sending.last_token_at.replace(now);
        let ask = sending.ask.clone();
        if !self.is_measured(&ask) {
            return;
        }
        match before {
            None => self.outcome.first_token(now.since(ask.at)),
            Some(before) => self.outcome.next_token(now.since(before)),
        }
    }

    pub(crate) fn answer(
        &mut self,
        checker: &mut Checker,
        request: RequestId,
        answer: &Answer,
        now: Millis,
    ) {
        let Some(sending) = self.open.remove(&request) else {
            return;
        };
        match answer {
            Answer::Text(text) => {
                let right = is_expected_text(
                    &text.tokens.concat(),
                    &prompt(self.kind(&sending.ask), &sending.ask),
                    sending.ask.output_tokens,
                );
                checker.check(Invariant::WholeOwnAnswer, right, now, || {
                    format!("request {request} got another text")
                });
                self.whole(&sending.ask, now);
            }
            Answer::Response(_) => checker.check(Invariant::WholeOwnAnswer, false, now, || {
                format!("request {request} got an application's answer")
            }),
            Answer::Refused(refusal) => self.refused(sending.ask, refusal, now),
        }
    }

    /// The connection ended without an answer, or could not be made.
    pub(crate) fn disconnected(&mut self, request: RequestId, now: Millis) {
        let Some(sending) = self.open.remove(&request) else {
            return;
        };
        self.counts.disconnected += 1;
        // The caller connects to the next gateway.
        let mut ask = sending.ask;
        ask.gateway = (ask.gateway + 1) % self.gateways;
        self.come_back(ask, RECONNECT, "disconnected", now);
    }

    pub(crate) fn report(&self) -> MixReport {
        self.outcome.report(self.span.since(WARM_UP))
    }

    fn whole(&mut self, ask: &Ask, now: Millis) {
        self.counts.whole += 1;
        if self.is_measured(ask) {
            let in_time = now <= self.useful_until(ask);
            let asked = ask.at.since(self.start);
            self.outcome.answered(self.kind(ask).name, asked, in_time);
        }
    }

    fn refused(&mut self, ask: Ask, refusal: &Refusal, now: Millis) {
        *self.counts.refused.entry(refusal.code).or_default() += 1;
        let reason = refusal.message.clone();
        *self.counts.reasons.entry(reason).or_default() += 1;
        match refusal.retry_after {
            Some(wait) => self.come_back(ask, wait, refusal.code.as_str(), now),
            None => self.give_up(&ask, refusal.code.as_str()),
        }
    }

    /// Sends the request again after `wait`, where an answer can still be
    /// useful then; else it ends with `code`.
    fn come_back(&mut self, ask: Ask, wait: Millis, code: &str, now: Millis) {
        let at = now + wait;
        if at + LEAST_TIME < self.useful_until(&ask) {
            self.again.push((at, ask));
        } else {
            self.give_up(&ask, code);
        }
    }

    fn give_up(&mut self, ask: &Ask, code: &str) {
        if self.is_measured(ask) {
            self.outcome.refused(self.kind(ask).name, code);
        }
    }

    fn send(&mut self, ask: Ask, now: Millis) -> Outgoing {
        self.next_request += 1;
        self.counts.sent += 1;
        let id = RequestId(self.next_request);
        let kind = self.kind(&ask).clone();
        let remaining = self.useful_until(&ask).since(now);
        let call = Call {
            id,
            tenant: None,
            session: Some(kind.session_id(ask.session)),
            key: None,
            deadline: Some(remaining),
            work: Work::Completion {
                model: ModelId::new(MODEL),
                prompt: prompt(&kind, &ask),
                max_tokens: ask.output_tokens,
                stream: true,
                chat: false,
            },
        };
        let gateway = ask.gateway;
        self.open.insert(
            id,
            Sending {
                ask,
                tokens: 0,
                last_token_at: None,
            },
        );
        Outgoing { gateway, call }
    }

    fn kind(&self, ask: &Ask) -> &RequestKind {
        self.deployment.kinds()[ask.kind]
    }

    fn useful_until(&self, ask: &Ask) -> Millis {
        ask.at + self.kind(ask).deadline
    }

    fn is_measured(&self, ask: &Ask) -> bool {
        ask.at >= self.start + WARM_UP
    }
}

/// Arrivals of a Poisson process whose rate follows the demand.
fn draw_arrivals(
    deployment: &Deployment,
    demand: &Demand,
    seed: u64,
    gateways: usize,
    start: Millis,
    span: Millis,
) -> VecDeque<Ask> {
    let mut random = Pcg64Mcg::seed_from_u64(!seed);
    let mut arrivals = VecDeque::new();
    let mut at = start;
    while at < start + span {
        for (kind, rate) in demand.rates(deployment, at).into_iter().enumerate() {
            for _ in 0..draw_count(&mut random, rate * DRAWING_STEP.as_secs_f64()) {
                let shape = deployment.kinds()[kind];
                let session = random.random_range(0..SESSIONS_OF_A_KIND);
                arrivals.push_back(Ask {
                    at: at + Millis(random.random_range(0..DRAWING_STEP.0)),
                    kind,
                    prompt_tokens: random.random_range(shape.prompt_tokens.clone()),
                    output_tokens: random.random_range(shape.output_tokens.clone()),
                    number: arrivals.len() as u64,
                    session,
                    gateway: session % gateways,
                });
            }
        }
        at = at + DRAWING_STEP;
    }
    arrivals.make_contiguous().sort_by_key(|ask| ask.at);
    arrivals
}

/// A number of events with the given mean, as in a Poisson process.
fn draw_count(random: &mut Pcg64Mcg, mean: f64) -> u64 {
    let bound = (-mean).exp();
    let mut product: f64 = random.random();
    let mut count = 0;
    while product > bound {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}

/// A prompt of the right length: shared words first, then its own.
fn prompt(kind: &RequestKind, ask: &Ask) -> String {
    let total = ask.prompt_tokens as usize;
    let shared = SHARED_WORDS.min(total);
    let own = format!("w{} ", ask.number);
    let mut prompt = String::with_capacity(shared * (kind.name.len() + 1) + total * own.len());
    for _ in 0..shared {
        prompt.push_str(kind.name);
        prompt.push(' ');
    }
    for _ in shared..total {
        prompt.push_str(&own);
    }
    prompt
}
