//! Jobs of an engine and their outputs.

use garnet_types::{BuildId, Class};

/// Identifies a job within one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A job as submitted to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmittedJob {
    /// Prefill a prompt and keep its KV cache for another engine.
    Prefill {
        /// Model that must be loaded.
        model: String,
        /// The prompt.
        prompt: String,
        /// Priority.
        class: Class,
        /// Build that the engine must be of, if any.
        build: Option<BuildId>,
    },
    /// Generate tokens.
    Generate {
        /// Model that must be loaded.
        model: String,
        /// The prompt.
        prompt: String,
        /// Number of tokens of the complete text.
        max_tokens: u64,
        /// Index of the first token to generate.
        from_token: u64,
        /// Build of the engine whose KV cache was imported, so that the prompt isn't prefilled.
        imported: Option<BuildId>,
        /// Priority.
        class: Class,
        /// Build that the engine must be of, if any.
        build: Option<BuildId>,
    },
}

impl SubmittedJob {
    pub(super) fn model(&self) -> &str {
        match self {
            SubmittedJob::Prefill { model, .. } | SubmittedJob::Generate { model, .. } => model,
        }
    }

    pub(super) fn needs_prefill(&self) -> bool {
        match self {
            SubmittedJob::Prefill { .. } => true,
            SubmittedJob::Generate { imported, .. } => imported.is_none(),
        }
    }

    /// Priority of the job.
    pub(super) fn class(&self) -> Class {
        match self {
            SubmittedJob::Prefill { class, .. } | SubmittedJob::Generate { class, .. } => *class,
        }
    }

    pub(super) fn build(&self) -> Option<&BuildId> {
        match self {
            SubmittedJob::Prefill { build, .. } | SubmittedJob::Generate { build, .. } => {
                build.as_ref()
            }
        }
    }

    pub(super) fn generates(&self) -> bool {
        matches!(self, SubmittedJob::Generate { .. })
    }
}

/// Why an engine did not start a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobRejection {
    /// The engine is draining or carrying out an order, and accepts no new work.
    Draining,
    /// Another model is loaded.
    WrongModel,
    /// The engine's role does not include the job.
    WrongRole,
    /// The job continues what another build began.
    WrongBuild,
}

/// Output of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutput {
    /// The prompt is prefilled, and its KV cache can be fetched.
    Prefilled {
        /// Handle of the KV cache.
        handle: u64,
    },
    /// One token.
    Token {
        /// Index of the token in the text.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The text is complete.
    Finished {
        /// Number of tokens of the complete text.
        total: u64,
    },
}
