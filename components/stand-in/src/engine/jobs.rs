//! What an engine is asked to do, and what becomes of it.

use garnet_types::Class;

/// A job inside one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A job as it is handed in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmittedJob {
    /// Read a prompt and keep its KV cache for another engine.
    Prefill {
        /// Model that must be loaded.
        model: String,
        /// The prompt.
        prompt: String,
        /// Priority.
        class: Class,
    },
    /// Generate tokens.
    Generate {
        /// Model that must be loaded.
        model: String,
        /// The prompt.
        prompt: String,
        /// Tokens of the whole text.
        max_tokens: u64,
        /// First token wanted.
        from_token: u64,
        /// Whether the KV cache was imported, so that no prompt is prefilled.
        imported: bool,
        /// Priority.
        class: Class,
    },
}

impl SubmittedJob {
    pub(super) fn model(&self) -> &str {
        match self {
            SubmittedJob::Prefill { model, .. } | SubmittedJob::Generate { model, .. } => model,
        }
    }

    pub(super) fn needs_prompt_read(&self) -> bool {
        match self {
            SubmittedJob::Prefill { .. } => true,
            SubmittedJob::Generate { imported, .. } => !imported,
        }
    }

    /// Its priority.
    pub(super) fn class(&self) -> Class {
        match self {
            SubmittedJob::Prefill { class, .. } | SubmittedJob::Generate { class, .. } => *class,
        }
    }

    pub(super) fn generates(&self) -> bool {
        matches!(self, SubmittedJob::Generate { .. })
    }
}

/// Why a job was not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobRejection {
    /// The engine takes no new work on purpose.
    Draining,
    /// Another model is loaded.
    WrongModel,
    /// The engine's role does not include the job.
    WrongRole,
}

/// What became of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutput {
    /// The prompt is prefilled; its KV cache can be fetched under this name.
    Prefilled {
        /// Name of the KV cache.
        handle: u64,
    },
    /// One token.
    Token {
        /// Its number.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The explicit end.
    Finished {
        /// Tokens of the whole text.
        total: u64,
    },
}
