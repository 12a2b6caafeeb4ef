//! Callers: what they send, what they must hear, and when they send again.

use std::collections::BTreeMap;

use garnet_gateway::{Answer, Call, Work, openai};
use garnet_stand_in::application::ApplicationAnswer;
use garnet_stand_in::text::is_expected_text;
use garnet_types::{
    Execution, IdempotencyKey, Millis, ModelId, OutcomeCode, RecordedResponse, Refusal, RequestId,
    ServiceId, SessionId, TenantId,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::callers::{CallerCounts, Outgoing};
use crate::checker::{Checker, Invariant};
use crate::service_hosts::{APPLICATION_SERVICE, MODEL};

/// Most times that a caller sends one thing.
const MOST_SENDS: u32 = 8;
/// Time on top of a deadline for links, ticks and clocks that run slow.
const LATE_ALLOWANCE: Millis = Millis(400);
/// A caller that hears nothing for so long after its deadline gives up.
const PATIENCE: Millis = Millis(6000);

/// What a caller wants.
#[derive(Debug, Clone)]
struct PlannedRequest {
    work: Work,
    key: Option<IdempotencyKey>,
    session: Option<SessionId>,
    deadline: Millis,
    sends: u32,
    /// Whether it was sent twice at once, to race with itself.
    raced: bool,
    fulfilled: bool,
}

/// One sending of a request.
#[derive(Debug, Clone)]
struct Sent {
    planned: usize,
    gateway: usize,
    sent_at: Millis,
    tokens: Vec<String>,
}

/// All callers.
pub(crate) struct Workload {
    gateways: usize,
    only_planned_faults: bool,
    planned_requests: Vec<PlannedRequest>,
    sent: BTreeMap<RequestId, Sent>,
    again: Vec<(Millis, usize)>,
    /// PlannedRequest of every sending, also of answered ones.
    planned_of: BTreeMap<RequestId, usize>,
    next_request: u64,
    /// Sessions that were accepted, and when their operators heard it.
    pub(crate) sessions: BTreeMap<SessionId, Millis>,
    pub(crate) counts: CallerCounts,
}

impl Workload {
    pub(crate) fn new(gateways: usize, only_planned_faults: bool) -> Self {
        Workload {
            gateways,
            only_planned_faults,
            planned_requests: Vec::new(),
            sent: BTreeMap::new(),
            again: Vec::new(),
            planned_of: BTreeMap::new(),
            next_request: 0,
            sessions: BTreeMap::new(),
            counts: CallerCounts::default(),
        }
    }

    /// A new request, sent once or, to race with itself, twice.
    pub(crate) fn plan(&mut self, random: &mut Pcg64Mcg, now: Millis) -> Vec<Outgoing> {
        let number = self.planned_requests.len();
        let mut planned = self.draw(random, number);
        planned.raced = planned.key.is_some() && random.random_bool(0.15);
        let raced = planned.raced;
        self.planned_requests.push(planned);
        let gateway = random.random_range(0..self.gateways);
        let mut outgoing = vec![self.send(number, gateway, now)];
        if raced {
            let other = (gateway + 1) % self.gateways;
            outgoing.push(self.send(number, other, now));
        }
        outgoing
    }

    fn draw(&self, random: &mut Pcg64Mcg, number: usize) -> PlannedRequest {
        let kind = random.random_range(0..100);
        let key = IdempotencyKey::new(format!("key-{number}"));
        let (work, key, deadline) = match kind {
            0..45 => (self.text(random, number), None, 6000),
            45..55 => (self.text(random, number), Some(key), 6000),
            55..85 => (application("POST", number), Some(key), 3000),
            85..92 => (application("POST", number), None, 3000),
            _ => (application("GET", number), None, 3000),
        };
        let is_text = matches!(work, Work::Completion { .. });
        let session = self.some_session(random).filter(|_| is_text);
        PlannedRequest {
            work,
            key,
            session,
            deadline: Millis(deadline),
            sends: 0,
            raced: false,
            fulfilled: false,
        }
    }

    fn text(&self, random: &mut Pcg64Mcg, number: usize) -> Work {
        let words = random.random_range(5..400);
        let filler: Vec<String> = (0..words).map(|word| format!("w{}", word % 50)).collect();
        Work::Completion {
            model: ModelId::new(MODEL),
            prompt: format!("prompt {number} {}", filler.join(" ")),
            max_tokens: random.random_range(1..60),
            stream: random.random_bool(0.7),
            chat: false,
        }
    }

    fn some_session(&self, random: &mut Pcg64Mcg) -> Option<SessionId> {
        let count = self.sessions.len();
        if count == 0 || random.random_bool(0.4) {
            return None;
        }
        // The latest are the ones that a gateway may not know yet.
        let back = random.random_range(0..count.min(3));
        let mut by_age: Vec<_> = self.sessions.iter().collect();
        by_age.sort_by_key(|(_, accepted_at)| **accepted_at);
        Some(by_age[count - 1 - back].0.clone())
    }

    fn send(&mut self, number: usize, gateway: usize, now: Millis) -> Outgoing {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let planned = &mut self.planned_requests[number];
        planned.sends += 1;
        self.counts.sent += 1;
        self.planned_of.insert(id, number);
        self.sent.insert(
            id,
            Sent {
                planned: number,
                gateway,
                sent_at: now,
                tokens: Vec::new(),
            },
        );
        Outgoing {
            gateway,
            call: Call {
                id,
                // The sessions of the operators are this tenant's.
                tenant: Some(TenantId::new("tenant")),
                session: planned.session.clone(),
                key: planned.key.clone(),
                deadline: Some(planned.deadline),
                work: planned.work.clone(),
            },
        }
    }

    /// Requests that are to be sent again now.
    pub(crate) fn due_again(&mut self, random: &mut Pcg64Mcg, now: Millis) -> Vec<Outgoing> {
        let due: Vec<usize> = self
            .again
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, planned)| planned)
            .collect();
        let mut outgoing = Vec::new();
        for planned in due {
            if !self.planned_requests[planned].fulfilled {
                let gateway = random.random_range(0..self.gateways);
                outgoing.push(self.send(planned, gateway, now));
            }
        }
        outgoing
    }

    /// Sendings whose callers gave up waiting.
    pub(crate) fn overdue(&mut self, now: Millis) -> Vec<RequestId> {
        self.sent
            .iter()
            .filter(|(_, sent)| {
                now.since(sent.sent_at) > self.planned_requests[sent.planned].deadline + PATIENCE
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// Sendings without a final answer.
    pub(crate) fn open(&self) -> usize {
        self.sent.len()
    }

    /// Takes tokens of a stream.
    pub(crate) fn tokens(
        &mut self,
        checker: &mut Checker,
        request: RequestId,
        first: u64,
        tokens: Vec<String>,
        now: Millis,
    ) {
        let Some(sent) = self.sent.get_mut(&request) else {
            return;
        };
        let in_order = first == sent.tokens.len() as u64;
        sent.tokens.extend(tokens);
        checker.check(Invariant::WholeOwnAnswer, in_order, now, || {
            format!("request {request} got token {first} out of order")
        });
    }

    /// Takes a final answer. `steady` says that the gateway had no trouble of
    /// its own meanwhile, so that its promptness can be judged.
    pub(crate) fn answer(
        &mut self,
        checker: &mut Checker,
        request: RequestId,
        answer: &Answer,
        steady: bool,
        now: Millis,
    ) {
        let Some(sent) = self.sent.remove(&request) else {
            return;
        };
        let planned = self.planned_requests[sent.planned].clone();
        let elapsed = now.since(sent.sent_at);
        if steady {
            let prompt = elapsed <= planned.deadline + LATE_ALLOWANCE;
            checker.check(Invariant::AnsweredAtOnce, prompt, now, || {
                let (took, allowed) = (elapsed.0, planned.deadline.0);
                format!("request {request} was answered after {took} ms of {allowed}")
            });
        }
        match answer {
            Answer::Text(text) => {
                let whole = text.tokens.concat();
                self.check_text(checker, request, &planned, &whole, now);
                let streamed = sent.tokens.concat();
                let streams = matches!(planned.work, Work::Completion { stream: true, .. });
                checker.check(
                    Invariant::WholeOwnAnswer,
                    !streams || streamed == whole,
                    now,
                    || format!("request {request}: the streamed text is not the whole one"),
                );
                self.fulfil(sent.planned);
            }
            Answer::Response(response) => {
                self.check_response(checker, request, &planned, response, now);
                self.fulfil(sent.planned);
            }
            Answer::Refused(refusal) => {
                self.refused(checker, request, &sent, &planned, refusal, now);
            }
        }
    }

    fn fulfil(&mut self, planned: usize) {
        self.planned_requests[planned].fulfilled = true;
        self.counts.whole += 1;
    }

    fn check_text(
        &self,
        checker: &mut Checker,
        request: RequestId,
        planned: &PlannedRequest,
        text: &str,
        now: Millis,
    ) {
        let Work::Completion {
            prompt, max_tokens, ..
        } = &planned.work
        else {
            checker.check(Invariant::WholeOwnAnswer, false, now, || {
                format!("request {request} of an application got a text")
            });
            return;
        };
        let right = is_expected_text(text, prompt, *max_tokens);
        checker.check(Invariant::WholeOwnAnswer, right, now, || {
            format!("request {request} got {text:?}")
        });
        if let Some(key) = &planned.key {
            checker.answered_key(key.as_str(), text.as_bytes(), now);
        }
    }

    fn check_response(
        &self,
        checker: &mut Checker,
        request: RequestId,
        planned: &PlannedRequest,
        response: &RecordedResponse,
        now: Millis,
    ) {
        let Work::Application { path, body, .. } = &planned.work else {
            // A recorded text.
            let text = openai::recorded_text(&response.body).map(|(text, _)| text);
            self.check_text(checker, request, planned, &text.unwrap_or_default(), now);
            return;
        };
        let parsed: Option<ApplicationAnswer> = serde_json::from_slice(&response.body).ok();
        let right = parsed.is_some_and(|answer| {
            answer.path == *path && answer.echo.as_bytes() == body.as_slice()
        });
        checker.check(Invariant::WholeOwnAnswer, right, now, || {
            format!("request {request} got another one's answer")
        });
        if let Some(key) = &planned.key {
            checker.answered_key(key.as_str(), &response.body, now);
        }
    }

    fn refused(
        &mut self,
        checker: &mut Checker,
        request: RequestId,
        sent: &Sent,
        planned: &PlannedRequest,
        refusal: &Refusal,
        now: Millis,
    ) {
        *self.counts.refused.entry(refusal.code).or_default() += 1;
        let reason = refusal.message.clone();
        *self.counts.reasons.entry(reason).or_default() += 1;
        if refusal.ran == Execution::No {
            checker.told_not_run(request, now);
        }
        let accepted_before = planned
            .session
            .as_ref()
            .and_then(|session| self.sessions.get(session))
            .is_some_and(|accepted_at| *accepted_at <= sent.sent_at);
        let dropped = refusal.code == OutcomeCode::NotFound && accepted_before;
        checker.check(Invariant::SessionsStay, !dropped, now, || {
            format!("request {request}: {}", refusal.message)
        });
        let cut = refusal.ran != Execution::No && planned.sends == 1 && !planned.raced;
        if self.only_planned_faults {
            checker.check(Invariant::PlannedChangeCutsNothing, !cut, now, || {
                format!(
                    "request {request}: {} {}",
                    refusal.code.as_str(),
                    refusal.message
                )
            });
        }
        if let Some(wait) = refusal.retry_after {
            self.send_again(sent.planned, now + wait);
        }
    }

    /// A connection ended without an answer.
    pub(crate) fn disconnected(&mut self, request: RequestId, now: Millis) {
        let Some(sent) = self.sent.remove(&request) else {
            return;
        };
        self.counts.disconnected += 1;
        let planned = &self.planned_requests[sent.planned];
        // Without a key it may have run: the caller can't know.
        if planned.key.is_some() {
            self.send_again(sent.planned, now + Millis(300));
        }
    }

    /// A gateway could not be reached at all.
    pub(crate) fn unreachable(&mut self, request: RequestId, now: Millis) {
        if let Some(sent) = self.sent.remove(&request) {
            self.counts.disconnected += 1;
            self.send_again(sent.planned, now + Millis(200));
        }
    }

    fn send_again(&mut self, planned: usize, at: Millis) {
        if self.planned_requests[planned].sends < MOST_SENDS {
            self.again.push((at, planned));
        }
    }

    /// Key of a sending, as its caller gave it.
    pub(crate) fn key_of(&self, request: RequestId) -> Option<String> {
        let planned = *self.planned_of.get(&request)?;
        self.planned_requests[planned]
            .key
            .as_ref()
            .map(|key| key.0.clone())
    }

    /// The gateway that a sending went to and when.
    pub(crate) fn sent_to(&self, request: RequestId) -> Option<(usize, Millis)> {
        let sent = self.sent.get(&request)?;
        Some((sent.gateway, sent.sent_at))
    }
}

fn application(method: &str, number: usize) -> Work {
    Work::Application {
        service: ServiceId::new(APPLICATION_SERVICE),
        method: method.to_owned(),
        path: format!("/orders/{number}"),
        content_type: "text/plain".to_owned(),
        body: format!("order {number}").into_bytes(),
    }
}
