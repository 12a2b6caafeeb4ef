//! Callers and operators: what they send and what they hear.

use garnet_gateway::Answer;
use garnet_types::{Execution, Millis, RequestId};
use rand::RngExt;

use crate::callers::Outgoing;
use crate::message::{Host, Message};
use crate::operators::Question;

use super::crashing::is_crashing;
use super::{SETTLE, World, WorldEvent};

impl World {
    pub(super) fn next_arrival(&mut self) {
        let (outgoing, next) = self.callers.arrive(&mut self.random, self.now);
        self.send_calls(outgoing);
        if let Some(next) = next
            && self.now < self.end_of_load()
        {
            self.schedule(next, WorldEvent::NextArrival);
        }
    }

    pub(super) fn end_of_load(&self) -> Millis {
        self.scenario.span + Millis::from_secs(20) + SETTLE - Millis::from_secs(15)
    }

    pub(super) fn send_calls(&mut self, outgoing: Vec<Outgoing>) {
        for Outgoing { gateway, call } in outgoing {
            let to = Host::Gateway(gateway);
            let id = call.id;
            let cut =
                self.network.is_cut(Host::Callers, to) || self.network.is_cut(to, Host::Callers);
            if cut || self.gateways[gateway].gateway.is_none() {
                self.callers.unreachable(id, self.now);
            } else {
                self.send(Host::Callers, to, Message::Call(call));
            }
        }
    }

    pub(super) fn deliver_callers(&mut self, message: Message) {
        match message {
            Message::Tokens(request, first, tokens) => {
                self.callers
                    .tokens(&mut self.checker, request, first, tokens, self.now);
            }
            Message::Answer(request, answer) => self.take_answer(request, &answer),
            Message::Disconnected(request) => {
                self.note_call_end(request, None);
                self.callers.disconnected(request, self.now);
            }
            _ => {}
        }
    }

    pub(super) fn take_answer(&mut self, request: RequestId, answer: &Answer) {
        if let Answer::Refused(refusal) = answer
            && refusal.ran == Execution::No
            && is_crashing(request)
        {
            self.checker.told_not_run(request, self.now);
        }
        let steady = self
            .callers
            .sent_to(request)
            .is_some_and(|(gateway, sent_at)| self.gateway_trouble[gateway] < sent_at);
        self.note_call_end(request, Some(answer));
        self.callers
            .answer(&mut self.checker, request, answer, steady, self.now);
    }

    pub(super) fn next_command(&mut self) {
        if self.scenario.experiment.is_some() {
            self.set_up_experiment();
            return;
        }
        let questions = self.operators.act(&mut self.random, self.now);
        self.send_questions(questions);
        if self.now < self.end_of_load() {
            let pause = Millis(self.random.random_range(200..1500));
            self.schedule(self.now + pause, WorldEvent::NextCommand);
        }
    }

    pub(super) fn send_questions(&mut self, questions: Vec<Question>) {
        for question in questions {
            let from = Host::Operator(question.operator);
            let to = Host::Control(question.control);
            self.send(
                from,
                to,
                Message::FromOperator(question.number, question.request),
            );
        }
    }
}
