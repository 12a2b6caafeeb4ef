//! Operators: commands that race, and that are sent again when no answer comes.

use std::collections::{BTreeMap, BTreeSet};

use garnet_control::{
    Command, CommandAnswer, CommandEnvelope, MemberChange, OperatorAnswer, OperatorRequest, Session,
};
use garnet_types::{
    BackendId, CommandId, EngineAssignment, EngineRole, Millis, ModelId, ReplicaId, ServiceId,
    SessionId, TenantId,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::checker::{Checker, Invariant};
use crate::service_hosts::{ENGINE_SERVICE, MODEL};
use crate::workload::Workload;

/// Policy that all operators write, and so race for.
const SHARED_POLICY: &str = "shared";
const DOCUMENT: &str =
    "[[rule]]\nwhen = 'service == \"language\"'\nclass = \"interactive\"\ndeadline_ms = 6000\n";
/// A command without an answer is sent again after this time.
const RESEND: Millis = Millis(1500);

/// A command that has no final answer yet.
#[derive(Debug, Clone)]
struct OpenCommand {
    operator: usize,
    request: OperatorRequest,
    sent_at: Millis,
    /// Replica that an answer pointed to.
    hint: Option<usize>,
}

/// A question that is to be sent now.
#[derive(Debug, Clone)]
pub(crate) struct Question {
    pub(crate) operator: usize,
    pub(crate) control: usize,
    pub(crate) number: u64,
    pub(crate) request: OperatorRequest,
}

/// All operators.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    operators: usize,
    controls: usize,
    engines: usize,
    open: BTreeMap<u64, OpenCommand>,
    first_answers: BTreeMap<CommandId, CommandAnswer>,
    /// Revision of the shared policy as the operators know it.
    known_revision: u64,
    winners: BTreeMap<u64, CommandId>,
    revisions: BTreeSet<u64>,
    next: u64,
    pub(crate) accepted: u64,
    pub(crate) conflicts: u64,
    /// Repairs: former identity and the new one, with its place.
    pub(crate) repairs: Vec<(ReplicaId, ReplicaId, usize)>,
    /// Times from a waiting command's sending until it was in force.
    pub(crate) in_force_ms: Vec<u64>,
}

impl Operators {
    pub(crate) fn new(operators: usize, controls: usize, engines: usize) -> Self {
        Operators {
            operators,
            controls,
            engines,
            ..Operators::default()
        }
    }

    /// A new command, which another operator may race.
    pub(crate) fn act(&mut self, random: &mut Pcg64Mcg, now: Millis) -> Vec<Question> {
        let operator = random.random_range(0..self.operators);
        match random.random_range(0..100) {
            0..35 => vec![self.create_session(random, operator, now)],
            35..70 => self.race_for_policy(random, now),
            _ => vec![self.assign_role(random, operator, now)],
        }
    }

    fn create_session(&mut self, random: &mut Pcg64Mcg, operator: usize, now: Millis) -> Question {
        let session = Session {
            id: SessionId::new(format!("session-{}", self.next)),
            tenant: TenantId::new("tenant"),
            service: ServiceId::new(ENGINE_SERVICE),
            model: Some(ModelId::new(MODEL)),
        };
        self.command(random, operator, Command::CreateSession(session), None, now)
    }

    /// One operator writes the shared policy, or all do with equal revisions.
    fn race_for_policy(&mut self, random: &mut Pcg64Mcg, now: Millis) -> Vec<Question> {
        let expected = self.known_revision;
        let racing = random.random_bool(0.6);
        let writers = if racing { self.operators } else { 1 };
        let mut questions = Vec::new();
        for operator in 0..writers {
            let document = format!("# {}\n{DOCUMENT}", self.next);
            let name = SHARED_POLICY.to_owned();
            let command = Command::PutPolicy { name, document };
            questions.push(self.command(random, operator, command, Some(expected), now));
        }
        questions
    }

    fn assign_role(&mut self, random: &mut Pcg64Mcg, operator: usize, now: Millis) -> Question {
        let engine = random.random_range(0..self.engines);
        let role = if random.random_bool(0.5) {
            EngineRole::Prefill
        } else {
            EngineRole::Decode
        };
        let command = Command::Assign {
            engine: BackendId::new(format!("engine-{engine}")),
            assignment: EngineAssignment {
                role,
                model: ModelId::new(MODEL),
            },
        };
        self.command(random, operator, command, None, now)
    }

    fn command(
        &mut self,
        random: &mut Pcg64Mcg,
        operator: usize,
        command: Command,
        expected_revision: Option<u64>,
        now: Millis,
    ) -> Question {
        self.next += 1;
        let envelope = CommandEnvelope {
            command_id: Some(CommandId::new(format!("command-{}", self.next))),
            expected_revision,
            at: Millis::ZERO,
            command,
        };
        let wait = random.random_bool(0.5);
        let request = OperatorRequest::Command { envelope, wait };
        self.ask(random, operator, request, now)
    }

    fn ask(
        &mut self,
        random: &mut Pcg64Mcg,
        operator: usize,
        request: OperatorRequest,
        now: Millis,
    ) -> Question {
        self.next += 1;
        let number = self.next;
        let open = OpenCommand {
            operator,
            request: request.clone(),
            sent_at: now,
            hint: None,
        };
        self.open.insert(number, open);
        Question {
            operator,
            control: random.random_range(0..self.controls),
            number,
            request,
        }
    }

    /// Questions that are sent again: the same command under the same id.
    pub(crate) fn resend(&mut self, random: &mut Pcg64Mcg, now: Millis) -> Vec<Question> {
        let mut questions = Vec::new();
        for (number, open) in &mut self.open {
            let patience = if open.hint.is_some() {
                Millis(50)
            } else {
                RESEND
            };
            if now.since(open.sent_at) < patience {
                continue;
            }
            open.sent_at = now;
            let control = open.hint.take();
            questions.push(Question {
                operator: open.operator,
                control: control.unwrap_or_else(|| random.random_range(0..self.controls)),
                number: *number,
                request: open.request.clone(),
            });
        }
        questions
    }

    /// The next step of the repair that is due, given the group as it is.
    pub(crate) fn repair(
        &mut self,
        random: &mut Pcg64Mcg,
        members: &BTreeMap<ReplicaId, bool>,
        now: Millis,
    ) -> Option<Question> {
        let (former, new, place) = self.repairs.first().copied()?;
        let change = match members.get(&new) {
            None => MemberChange::AddLearner {
                id: new,
                peer_address: place.to_string(),
                admin_address: place.to_string(),
            },
            Some(false) => MemberChange::Promote(new),
            Some(true) if members.contains_key(&former) => MemberChange::Remove(former),
            Some(true) => {
                self.repairs.remove(0);
                return None;
            }
        };
        let question = self.ask(random, 0, OperatorRequest::Member(change), now);
        // Repairs look at the group instead of the answer.
        self.open.remove(&question.number);
        Some(question)
    }

    /// Takes an answer.
    pub(crate) fn answer(
        &mut self,
        checker: &mut Checker,
        workload: &mut Workload,
        number: u64,
        answer: OperatorAnswer,
        now: Millis,
    ) {
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        match answer {
            OperatorAnswer::NotLeader(Some(place)) => open.hint = place.parse().ok(),
            OperatorAnswer::NotLeader(None) | OperatorAnswer::Unconfirmed => {}
            OperatorAnswer::Committed { answer, in_force } => {
                let open = self.open.remove(&number);
                if let Some(OpenCommand {
                    request: OperatorRequest::Command { envelope, wait },
                    sent_at,
                    ..
                }) = open
                {
                    if wait && in_force {
                        self.in_force_ms.push(now.since(sent_at).0);
                    }
                    self.committed(checker, workload, &envelope, answer, in_force, now);
                }
            }
            OperatorAnswer::Refused(_)
            | OperatorAnswer::NotYet(_)
            | OperatorAnswer::Configuration(_)
            | OperatorAnswer::Routes(_)
            | OperatorAnswer::Status(_) => {
                self.open.remove(&number);
            }
        }
    }

    fn committed(
        &mut self,
        checker: &mut Checker,
        workload: &mut Workload,
        envelope: &CommandEnvelope,
        answer: CommandAnswer,
        in_force: bool,
        now: Millis,
    ) {
        let Some(id) = envelope.command_id.clone() else {
            return;
        };
        let first = self
            .first_answers
            .entry(id.clone())
            .or_insert_with(|| answer.clone());
        let same = *first == answer;
        checker.check(Invariant::OneCommandWins, same, now, || {
            format!("command {id} got two answers")
        });
        match answer {
            CommandAnswer::Accepted { revision } => {
                self.accepted += 1;
                if in_force {
                    checker.told_in_force(revision);
                }
                self.accepted(checker, workload, envelope, &id, revision, now);
            }
            CommandAnswer::Conflict { current_revision } => {
                self.conflicts += 1;
                self.known_revision = self.known_revision.max(current_revision);
            }
            _ => {}
        }
    }

    fn accepted(
        &mut self,
        checker: &mut Checker,
        workload: &mut Workload,
        envelope: &CommandEnvelope,
        id: &CommandId,
        revision: u64,
        now: Millis,
    ) {
        match &envelope.command {
            Command::CreateSession(session) => {
                workload.sessions.entry(session.id.clone()).or_insert(now);
            }
            Command::PutPolicy { .. } => {
                self.known_revision = self.known_revision.max(revision);
                self.revisions.insert(revision);
                if let Some(expected) = envelope.expected_revision {
                    let winner = self.winners.entry(expected).or_insert_with(|| id.clone());
                    let won = winner == id;
                    checker.check(Invariant::OneCommandWins, won, now, || {
                        format!("two commands won against revision {expected}")
                    });
                }
            }
            _ => {}
        }
    }

    /// Highest revision of the shared policy that was accepted.
    pub(crate) fn highest_policy_revision(&self) -> u64 {
        self.revisions.last().copied().unwrap_or(0)
    }
}

/// Revision of the shared policy in a configuration.
pub(crate) fn policy_revision(configuration: &garnet_control::Configuration) -> u64 {
    configuration
        .policies
        .get(SHARED_POLICY)
        .map_or(0, |record| record.revision)
}
