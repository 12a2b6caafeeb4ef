//! The replicated state in snapshots of format 2.

use std::collections::{BTreeMap, VecDeque};

use garnet_types::{CommandId, Millis};
use serde::{Deserialize, Serialize};

use super::configuration::Configuration;
use crate::answer::CommandAnswer;
use crate::claims::Claims;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct State {
    pub(crate) configuration: Configuration,
    pub(crate) routes_document: Option<String>,
    pub(crate) claims: Claims,
    pub(crate) clock: Millis,
    pub(crate) answers: BTreeMap<CommandId, CommandAnswer>,
    pub(crate) answer_order: VecDeque<CommandId>,
}
