//! Back ends that name a limit: the leader hears of it from gateways, tells all of
//! them, and hands out the permits.

use std::collections::BTreeMap;

use garnet_limits::{LimitLedger, LimitWord, LimitWords, PermitAsk, ToldLimit};
use garnet_types::{BackendId, GatewayId, Millis};

use crate::configuration::{Configuration, UNTOLD_START};
use crate::effects::Effect;
use crate::messages::{ControlReply, ToldLimits};
use crate::shared::Shared;

use super::Replica;

/// Bytes of the list that one gateway is sent in a millisecond: a sixth of the 24 KB
/// a second that control may cost a node. What changes faster is told together.
const LIST_BYTES_PER_MS: u64 = 4;
/// Bytes of one limit in the list.
const LIMIT_BYTES: u64 = 24;

/// What the leader keeps of limits. It can be lost at any time.
#[derive(Debug, Default)]
pub(super) struct Limiting {
    ledger: LimitLedger,
    /// The list by its number, encoded once for all gateways.
    list: Option<(u64, Shared<Vec<ToldLimit>>)>,
    told: BTreeMap<GatewayId, Told>,
}

/// What a gateway was told last, and what it told.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    list: Option<ToldList>,
    words_noted: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ToldList {
    number: u64,
    connection: u64,
    words_noted: u64,
    at: Millis,
}

impl Limiting {
    /// Back ends that have a limit.
    pub(super) fn backends(&self) -> impl Iterator<Item = &BackendId> {
        self.ledger.backends()
    }

    /// Forgets what a back end that has started again said before.
    pub(super) fn started_again(&mut self, id: &BackendId) {
        self.ledger.forget(id);
    }

    /// The list for a gateway, where it may not know it.
    fn news_for(
        &mut self,
        gateway: &GatewayId,
        connection: u64,
        now: Millis,
    ) -> Option<(ToldList, Shared<Vec<ToldLimit>>)> {
        let number = self.ledger.number();
        let told = self.told.entry(gateway.clone()).or_default();
        let news = ToldList {
            number,
            connection,
            words_noted: told.words_noted,
            at: now,
        };
        let before = told.list.filter(|before| before.connection == connection);
        if let Some(before) = before {
            let is_known = ToldList { at: now, ..before } == news;
            let length = self.list.as_ref().map_or(0, |(_, list)| list.len()) as u64;
            let interval = Millis(length * LIMIT_BYTES / LIST_BYTES_PER_MS);
            if is_known || now.since(before.at) < interval {
                return None;
            }
        }
        told.list = Some(news);
        Some((news, self.list()))
    }

    fn list(&mut self) -> Shared<Vec<ToldLimit>> {
        let number = self.ledger.number();
        let held = self.list.take().filter(|(of, _)| *of == number);
        let (_, list) = self
            .list
            .insert(held.unwrap_or_else(|| (number, Shared::from(self.ledger.list()))));
        list.clone()
    }

    fn take_words(&mut self, gateway: &GatewayId, words: &LimitWords, sound: &Sound<'_>) {
        let told = self.told.entry(gateway.clone()).or_default();
        told.words_noted = told.words_noted.max(words.number);
        for word in words.words.iter().filter(|word| sound.is_of_present(word)) {
            self.ledger.note(word, sound.now);
        }
    }
}

/// What words are held against.
struct Sound<'a> {
    configuration: &'a Configuration,
    now: Millis,
}

impl Sound<'_> {
    /// Whether a word is of the back end's present start, as far as that is told.
    fn is_of_present(&self, word: &LimitWord) -> bool {
        let Some(record) = self.configuration.backends.get(&word.backend) else {
            return false;
        };
        let present = record.start();
        word.start == present || word.start == UNTOLD_START || present == UNTOLD_START
    }
}

impl Replica {
    /// Back ends that have named a limit, as far as this leader knows.
    pub fn limited_backends(&self) -> usize {
        self.limiting.backends().count()
    }

    /// Takes what a gateway heard of limits.
    pub(super) fn take_limit_words(&mut self, gateway: &GatewayId, words: &LimitWords) {
        let sound = Sound {
            configuration: &self.state.configuration,
            now: self.now,
        };
        self.limiting.take_words(gateway, words, &sound);
    }

    /// Answers a question for a permit.
    pub(super) fn give_permit(&mut self, ask: &PermitAsk) -> ControlReply {
        ControlReply::Permit(self.limiting.ledger.ask(ask, self.now))
    }

    /// Tells a gateway that watches which limits there are, where it may not know.
    pub(super) fn tell_limits(&mut self, gateway: &GatewayId, connection: u64) {
        let news = self.limiting.news_for(gateway, connection, self.now);
        if let Some((news, limits)) = news {
            let reply = ControlReply::Limits(ToldLimits {
                term: self.node.status().term,
                number: news.number,
                words_noted: news.words_noted,
                limits,
            });
            self.effects
                .push(Effect::ReplyGateway { connection, reply });
        }
    }

    /// Forgets back ends and gateways that are gone.
    pub(super) fn keep_limits(&mut self) {
        let backends = &self.state.configuration.backends;
        self.limiting.ledger.keep(|id| backends.contains_key(id));
        let gateways = &self.gateways;
        let told = &mut self.limiting.told;
        told.retain(|gateway, _| gateways.is_known(gateway));
    }
}
