//! Evaluates policies on the facts of a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use cel::{Context, Env, Program, Value};
use garnet_types::Verdict;

use crate::compile::{PlannerWeights, Policy};
use crate::facts::RequestFacts;

/// The result of evaluating the policies on one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Evaluation {
    /// How the request is handled.
    pub verdict: Verdict,
    /// Name of the policy whose rule matched; `None` if no rule did.
    pub matched_policy: Option<String>,
    /// Number of conditions whose evaluation failed.
    pub failures: u64,
}

/// All active policies. The first matching rule determines the verdict; policies are evaluated
/// in the order of their names, and rules in the order of the document.
#[derive(Default)]
pub struct PolicySet {
    policies: BTreeMap<String, Policy>,
}

impl PolicySet {
    /// Adds a policy, replacing any policy of the same name.
    pub fn put(&mut self, name: &str, policy: Policy) {
        self.policies.insert(name.to_owned(), policy);
    }

    /// Removes a policy.
    pub fn withdraw(&mut self, name: &str) {
        self.policies.remove(name);
    }

    /// Removes all policies.
    pub fn clear(&mut self) {
        self.policies.clear();
    }

    /// Planner weights of the first policy that sets them.
    pub fn planner_weights(&self) -> Option<&PlannerWeights> {
        self.policies
            .values()
            .find_map(|policy| policy.planner.as_ref())
    }

    /// Evaluates the policies on a request. If no rule matches, the verdict is the safe default.
    pub fn evaluate(&self, facts: &RequestFacts) -> Evaluation {
        let mut failures = 0;
        for (name, policy) in &self.policies {
            for rule in &policy.rules {
                match run_condition(&rule.condition, &policy.environment, facts) {
                    ConditionResult::Matches(true) => {
                        return Evaluation {
                            verdict: rule.verdict.clone(),
                            matched_policy: Some(name.clone()),
                            failures,
                        };
                    }
                    ConditionResult::Matches(false) => {}
                    ConditionResult::Failed(_) => failures += 1,
                }
            }
        }
        Evaluation {
            verdict: Verdict::default(),
            matched_policy: None,
            failures,
        }
    }
}

pub(crate) enum ConditionResult {
    Matches(bool),
    Failed(String),
}

pub(crate) fn run_condition(
    condition: &Program,
    environment: &Arc<Env>,
    facts: &RequestFacts,
) -> ConditionResult {
    let mut context = Context::with_env(Arc::clone(environment));
    let texts = [
        ("service", &facts.service),
        ("tenant", &facts.tenant),
        ("session", &facts.session),
        ("model", &facts.model),
        ("path", &facts.path),
    ];
    for (name, text) in texts {
        context.add_variable_from_value(name, text.clone());
    }
    context.add_variable_from_value("prompt_tokens", facts.prompt_tokens as i64);
    context.add_variable_from_value("max_tokens", facts.max_tokens as i64);
    match condition.execute(&context) {
        Ok(Value::Bool(matches)) => ConditionResult::Matches(matches),
        Ok(_) => ConditionResult::Failed("the condition must return true or false".into()),
        Err(error) => ConditionResult::Failed(format!("the condition fails: {error}")),
    }
}
