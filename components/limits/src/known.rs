//! The limits that one gateway knows, and the permits that it has.

use std::collections::{BTreeSet, HashMap, VecDeque};

use garnet_types::{BackendId, Millis};

use crate::messages::{
    LimitList, LimitWord, LimitWords, PERMIT_LASTS, PermitAnswer, PermitAsk, PermitOutcome,
};
use crate::rate::RequestRate;

/// Words that wait to be told at most, some 30 bytes each. What is left out is heard
/// again with the next answer.
const MOST_WORDS: usize = 64;
/// Back ends that one question names at most: enough to find the one with a permit
/// among a few, at some 300 bytes.
const MOST_ASKED: usize = 16;
/// Questions that are remembered; older ones are answered or lost.
const MOST_QUESTIONS: usize = 64;

/// The start of a back end of which only the leader's list tells; it is no start's name.
const UNTOLD_START: u64 = 0;

/// A request that may be sent.
#[derive(Debug, Clone, Copy)]
struct Permit {
    until: Millis,
    is_due: bool,
}

/// The leader has no permit for requests of a rank until then.
#[derive(Debug, Clone, Copy)]
struct Closed {
    rank: u8,
    until: Millis,
    /// When a caller who was refused may come again.
    returns_at: Millis,
}

#[derive(Debug)]
struct Known {
    rate: RequestRate,
    start: u64,
    /// An answer tells of the end of the limit where its request was sent later.
    since: Millis,
    /// Whether the back end itself was heard here to name it.
    was_heard: bool,
    told: Told,
    permits: VecDeque<Permit>,
    closed: Option<Closed>,
}

impl Known {
    fn new(rate: RequestRate, start: u64, told: Told, now: Millis) -> Self {
        Known {
            rate,
            start,
            since: now,
            was_heard: false,
            told,
            permits: VecDeque::new(),
            closed: None,
        }
    }
}

/// What the leader is known to know of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    /// Nothing.
    No,
    /// It was told with the words of this number.
    In(u64),
    /// Its list says so.
    Listed,
}

/// A word that the leader has not heard yet.
#[derive(Debug)]
struct News {
    backend: BackendId,
    start: u64,
    rate: Option<RequestRate>,
    at: Millis,
}

#[derive(Debug)]
struct Question {
    number: u64,
    at: Millis,
    rank: u8,
    backends: Vec<BackendId>,
}

/// What a gateway that lacks a permit does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asking {
    /// Ask the leader.
    Ask(PermitAsk),
    /// The leader has none for now: the caller may come again after this time.
    Closed(Millis),
    /// None of the back ends has a limit.
    Unlimited,
}

/// What one gateway knows.
#[derive(Debug, Default)]
pub struct KnownLimits {
    known: HashMap<BackendId, Known>,
    news: VecDeque<News>,
    questions: VecDeque<Question>,
    last_question: u64,
    last_words: u64,
    /// The newest list that came on this connection: term of its leader, and number.
    list: Option<(u64, u64)>,
}

impl KnownLimits {
    /// Whether no back end is known to have a limit, so that none need be looked up.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Back ends that are known to have a limit.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// The limit of a back end, where it has one.
    pub fn rate(&self, id: &BackendId) -> Option<RequestRate> {
        Some(self.known.get(id)?.rate)
    }

    /// Whether a request may be sent to a back end now: it has no limit, or there is
    /// a permit.
    pub fn may_send(&self, id: &BackendId, now: Millis) -> bool {
        let Some(known) = self.known.get(id) else {
            return true;
        };
        known.permits.iter().any(|permit| now <= permit.until)
    }

    /// Whether a request should go to a back end, so that it is heard what that
    /// takes; there is a permit for it.
    pub fn is_due(&self, id: &BackendId, now: Millis) -> bool {
        let Some(known) = self.known.get(id) else {
            return false;
        };
        let mut permits = known.permits.iter();
        permits.any(|permit| now <= permit.until && permit.is_due)
    }

    /// Notes that a request is sent to a back end.
    pub fn sent(&mut self, id: &BackendId, now: Millis) {
        if let Some(known) = self.known.get_mut(id) {
            known.permits.retain(|permit| now <= permit.until);
            known.permits.pop_front();
        }
    }

    // ---- What back ends say ----

    /// Notes that a back end named a limit. `true` where it is new.
    pub fn named(&mut self, id: &BackendId, start: u64, rate: RequestRate, now: Millis) -> bool {
        let known = self.known.entry(id.clone());
        let known = known.or_insert_with(|| Known::new(rate, start, Told::No, now));
        let is_new = known.rate != rate || !known.was_heard;
        known.rate = rate;
        known.start = start;
        known.since = now;
        known.was_heard = true;
        self.push(News {
            backend: id.clone(),
            start,
            rate: Some(rate),
            at: now,
        });
        is_new
    }

    /// Notes an answer that names no limit, to a request that was sent at `sent_at`.
    /// Whether the limit is over is the leader's to say, who hears all gateways.
    pub fn named_none(&mut self, id: &BackendId, start: u64, sent_at: Millis) {
        let known = self.known.get(id);
        if known.is_some_and(|known| sent_at > known.since) {
            self.push(News {
                backend: id.clone(),
                start,
                rate: None,
                at: sent_at,
            });
        }
    }

    /// Of words that name a limit the newest of each back end is enough.
    fn push(&mut self, news: News) {
        if news.rate.is_some() {
            let is_older = |old: &News| old.backend == news.backend && old.rate.is_some();
            self.news.retain(|old| !is_older(old));
        }
        if self.news.len() == MOST_WORDS {
            self.news.pop_front();
        }
        self.news.push_back(news);
    }

    /// Forgets a back end that is gone, or has started again.
    pub fn forget(&mut self, id: &BackendId) {
        self.known.remove(id);
        self.news.retain(|news| news.backend != *id);
    }

    // ---- What the leader says ----

    /// Another leader may have been found: what it knows is not known.
    pub fn connected(&mut self) {
        self.list = None;
        self.questions.clear();
        for known in self.known.values_mut() {
            known.told = Told::No;
            known.closed = None;
        }
    }

    /// Forgets all back ends but these.
    pub fn keep(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.known.retain(|id, _| is_known(id));
        self.news.retain(|news| is_known(&news.backend));
    }

    /// Takes the list of the leader of a term, made when it had taken the words of
    /// this number. Gives the back ends whose limit is over.
    ///
    /// Invariant: what that leader was not told in its term is kept.
    pub fn take_list(&mut self, list: LimitList<'_>, now: Millis) -> Vec<BackendId> {
        let newest = self.list.unwrap_or_default();
        if (list.term, list.number) < newest {
            return Vec::new();
        }
        if list.term != newest.0 {
            self.connected();
        }
        self.list = Some((list.term, list.number));
        for told in list.limits {
            let known = self.known.entry(told.backend.clone());
            let known =
                known.or_insert_with(|| Known::new(told.rate, UNTOLD_START, Told::Listed, now));
            if known.told != Told::No {
                known.rate = told.rate;
            }
            known.told = Told::Listed;
        }
        let listed: BTreeSet<&BackendId> = list.limits.iter().map(|told| &told.backend).collect();
        let is_over = |known: &Known| match known.told {
            Told::No => false,
            Told::In(number) => number <= list.words_noted,
            Told::Listed => true,
        };
        let over = self.known.iter();
        let over = over.filter(|(id, known)| is_over(known) && !listed.contains(id));
        let over: Vec<BackendId> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.known.remove(id);
        }
        over
    }

    /// What the leader has not heard yet. What it does not list is told anew, once it
    /// has told its list: a new leader knows nothing.
    pub fn words(&mut self, now: Millis) -> Option<LimitWords> {
        let mut words: Vec<LimitWord> = Vec::new();
        let number = self.last_words + 1;
        for news in self.news.drain(..) {
            if let Some(known) = self.known.get_mut(&news.backend)
                && known.told != Told::Listed
                && news.rate.is_some()
            {
                known.told = Told::In(number);
            }
            words.push(LimitWord {
                backend: news.backend,
                start: news.start,
                rate: news.rate,
                ago: now.since(news.at),
            });
        }
        if self.list.is_some() {
            self.tell_again(number, &mut words, now);
        }
        if words.is_empty() {
            return None;
        }
        self.last_words = number;
        Some(LimitWords { number, words })
    }

    /// Adds what the leader's list does not have, until it has it: words may be lost
    /// on their way. Those that were never told come first.
    fn tell_again(&mut self, number: u64, words: &mut Vec<LimitWord>, now: Millis) {
        let is_new = |known: &Known| matches!(known.told, Told::In(told) if told == number);
        let untold = self.known.iter_mut();
        let untold = untold.filter(|(_, known)| known.told != Told::Listed && !is_new(known));
        let mut untold: Vec<(&BackendId, &mut Known)> = untold.collect();
        untold.sort_unstable_by_key(|(_, known)| known.told != Told::No);
        for (id, known) in untold.into_iter().take(MOST_WORDS) {
            known.told = Told::In(number);
            words.push(LimitWord {
                backend: id.clone(),
                start: known.start,
                rate: Some(known.rate),
                ago: now.since(known.since),
            });
        }
    }

    // ---- Permits ----

    /// What to do for a request of this rank that one of these back ends could take.
    pub fn ask<'a>(
        &mut self,
        backends: impl Iterator<Item = &'a BackendId>,
        rank: u8,
        now: Millis,
    ) -> Asking {
        let mut open: Vec<BackendId> = Vec::new();
        let mut returns_at: Option<Millis> = None;
        for id in backends {
            let Some(known) = self.known.get(id) else {
                continue;
            };
            let is_closed = |closed: &&Closed| closed.rank <= rank && now < closed.until;
            match known.closed.as_ref().filter(is_closed) {
                Some(closed) => {
                    let earlier = returns_at.unwrap_or(Millis::NEVER);
                    returns_at = Some(closed.returns_at.min(earlier));
                }
                None if open.len() < MOST_ASKED => open.push(id.clone()),
                None => {}
            }
        }
        if !open.is_empty() {
            return Asking::Ask(self.question(open, rank, now));
        }
        match returns_at {
            Some(at) => Asking::Closed(at.since(now)),
            None => Asking::Unlimited,
        }
    }

    fn question(&mut self, backends: Vec<BackendId>, rank: u8, now: Millis) -> PermitAsk {
        self.last_question += 1;
        let number = self.last_question;
        if self.questions.len() == MOST_QUESTIONS {
            self.questions.pop_front();
        }
        self.questions.push_back(Question {
            number,
            at: now,
            rank,
            backends: backends.clone(),
        });
        PermitAsk {
            number,
            backends,
            rank,
        }
    }

    /// Takes the leader's answer. A permit counts from the moment of the question: the
    /// leader's own moment is later.
    pub fn answered(&mut self, answer: &PermitAnswer, now: Millis) {
        let mut asked = self.questions.iter();
        let place = asked.position(|question| question.number == answer.number);
        let Some(question) = place.and_then(|place| self.questions.remove(place)) else {
            return;
        };
        match &answer.outcome {
            PermitOutcome::Granted { backend, is_due } => {
                if let Some(known) = self.known.get_mut(backend) {
                    known.permits.push_back(Permit {
                        until: question.at + PERMIT_LASTS,
                        is_due: *is_due,
                    });
                }
            }
            PermitOutcome::Refused { wait, retry_after } => {
                let closed = Closed {
                    rank: question.rank,
                    until: now + *wait,
                    returns_at: now + *retry_after,
                };
                for id in &question.backends {
                    if let Some(known) = self.known.get_mut(id) {
                        known.closed = Some(closed);
                    }
                }
            }
        }
    }
}
