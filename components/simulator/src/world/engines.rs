//! Engines: orders, jobs and what becomes of them.

use garnet_control::EngineRequest;
use garnet_gateway::{AttemptEvent, Job};
use garnet_stand_in::{JobOutput, JobRejection, SubmittedJob};
use garnet_types::{BackendId, OrderAnswer, RequestId};

use crate::message::{Host, Message};
use crate::service_hosts::JobOwner;

use super::{World, place_of};

impl World {
    pub(super) fn deliver_engine(&mut self, place: usize, from: Host, message: Message) {
        let host = Host::Engine(place);
        if self.engines[place].engine.is_none() {
            if let (
                Message::StartJob {
                    attempt,
                    gateway_start,
                    ..
                },
                Host::Gateway(gateway),
            ) = (&message, from)
            {
                let owner = JobOwner {
                    gateway,
                    gateway_start: *gateway_start,
                    attempt: *attempt,
                };
                let event = AttemptEvent::NotStarted { draining: false };
                self.job_event(host, owner, event);
            }
            return;
        }
        match message {
            Message::AskEngine(EngineRequest::Status) => {
                let now = self.now;
                if let Some(engine) = &mut self.engines[place].engine {
                    engine.advance(now);
                    let status = engine.status();
                    self.send(host, from, Message::EngineStatus(status));
                }
                self.engine_outputs(place);
            }
            Message::AskEngine(EngineRequest::Order(order)) => {
                self.order_engine(place, from, &order)
            }
            Message::AskLoad => {
                if let Some(engine) = &self.engines[place].engine {
                    let report = engine.load_report(0, self.now);
                    self.send(host, from, Message::Load(report));
                }
            }
            Message::StartJob {
                attempt,
                gateway_start,
                request,
                job,
            } => {
                if let Host::Gateway(gateway) = from {
                    let owner = JobOwner {
                        gateway,
                        gateway_start,
                        attempt,
                    };
                    self.start_engine_job(place, owner, request, job);
                }
            }
            Message::CancelJob(attempt) => {
                let now = self.now;
                let engine_host = &mut self.engines[place];
                let job = engine_host
                    .jobs
                    .iter()
                    .find(|(_, owner)| {
                        owner.attempt == attempt && Host::Gateway(owner.gateway) == from
                    })
                    .map(|(job, _)| *job);
                if let (Some(job), Some(engine)) = (job, &mut engine_host.engine) {
                    engine.cancel(job, now);
                    engine_host.jobs.remove(&job);
                }
            }
            _ => {}
        }
    }

    pub(super) fn order_engine(
        &mut self,
        place: usize,
        from: Host,
        order: &garnet_types::EngineOrder,
    ) {
        let now = self.now;
        let Some(engine) = &mut self.engines[place].engine else {
            return;
        };
        engine.advance(now);
        let before = engine.status();
        let answer = engine.order(order, now);
        let after = engine.status();
        let began = before.changing.is_none() && after.changing.is_some();
        if let OrderAnswer::Accepted(status) = &answer {
            self.engines[place].kept_fence = status.highest_fence.unwrap_or_default();
            let running = if began { before.running } else { 0 };
            self.checker
                .accepted_order(place, order, before.changing.as_ref(), running, now);
            self.role_changes += u64::from(began);
        }
        self.engine_outputs(place);
        self.send(Host::Engine(place), from, Message::OrderAnswer(answer));
    }

    pub(super) fn start_engine_job(
        &mut self,
        place: usize,
        owner: JobOwner,
        request: RequestId,
        job: Job,
    ) {
        let host = Host::Engine(place);
        let now = self.now;
        self.note_reached(owner.gateway, &job);
        if self.reject_overloaded(host, owner) {
            return;
        }
        let key = self.callers.key_of(request);
        let Some(submitted) = self.engine_job(&job) else {
            self.job_event(host, owner, AttemptEvent::CacheGone);
            return;
        };
        let generates = matches!(submitted, SubmittedJob::Generate { .. });
        let crashes = self.crashing_request_of(&job).filter(|_| generates);
        let Some(engine) = &mut self.engines[place].engine else {
            return;
        };
        engine.advance(now);
        match engine.submit(submitted, now) {
            Ok(job) => {
                self.engines[place].jobs.insert(job, owner);
                self.say_limit(host, owner);
                self.report_draining(host, owner);
                // A prefill gives no token and has no effect: it is no run.
                if generates {
                    self.checker.began(request, now);
                }
                if let (true, Some(key)) = (generates, key) {
                    self.checker.ran_once(request, Some(&key), now);
                }
                let leaving = self.engines[place].leaving_since;
                self.check_leaving(host, leaving);
                if let Some(request) = crashes {
                    self.engine_will_crash(place, request, owner.gateway);
                }
            }
            Err(refusal) => {
                self.say_limit(host, owner);
                self.report_draining(host, owner);
                let draining = refusal != JobRejection::WrongModel;
                self.job_event(host, owner, AttemptEvent::NotStarted { draining });
            }
        }
        self.engine_outputs(place);
    }

    /// The engine's form of a job; `None` when the KV cache is not there.
    pub(super) fn engine_job(&mut self, job: &Job) -> Option<SubmittedJob> {
        match job.clone() {
            Job::Prefill {
                model,
                prompt,
                class,
                build,
            } => Some(SubmittedJob::Prefill {
                model: model.0,
                prompt,
                class,
                build,
            }),
            Job::Generate {
                model,
                prompt,
                max_tokens,
                from_token,
                kv,
                class,
                build,
            } => {
                let mut imported = None;
                if let Some(kv) = kv {
                    let source = place_of(&BackendId::new(kv.address), "engine-")?;
                    let source = self.engines.get_mut(source)?.engine.as_mut()?;
                    source.export(kv.handle)?;
                    imported = Some(source.build().clone());
                }
                Some(SubmittedJob::Generate {
                    model: model.0,
                    prompt,
                    max_tokens,
                    from_token,
                    imported,
                    class,
                    build,
                })
            }
            Job::Application { .. } => None,
        }
    }

    pub(super) fn engine_outputs(&mut self, place: usize) {
        let host = Host::Engine(place);
        let Some(engine) = &mut self.engines[place].engine else {
            return;
        };
        for (job, output) in engine.take_outputs() {
            let Some(owner) = self.engines[place].jobs.get(&job).copied() else {
                continue;
            };
            let (event, ends) = match output {
                JobOutput::Prefilled { handle } => (AttemptEvent::Prefilled { handle }, true),
                JobOutput::Token { index, text } => {
                    let tokens = vec![text];
                    let first = index;
                    (AttemptEvent::Tokens { first, tokens }, false)
                }
                JobOutput::Finished { total } => (AttemptEvent::Finished { total }, true),
            };
            if ends {
                self.engines[place].jobs.remove(&job);
            }
            self.job_event(host, owner, event);
        }
    }
}
