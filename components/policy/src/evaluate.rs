//! From the facts of a request to its verdict.

use std::collections::BTreeMap;
use std::sync::Arc;

use cel::{Context, Env, Program, Value};
use garnet_types::Verdict;

use crate::compile::{PlannerWeights, Policy};
use crate::facts::RequestFacts;

/// The verdict on one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Evaluation {
    /// How it is to be treated.
    pub verdict: Verdict,
    /// Name of the policy that matched.
    pub matched: Option<String>,
    /// Conditions that failed while they ran.
    pub failures: u64,
}

/// All policies in force, by name. The first rule that matches, in the order
/// of the policies' names and of the rules in each, gives the verdict.
#[derive(Default)]
pub struct PolicySet {
    policies: BTreeMap<String, Policy>,
}

impl PolicySet {
    /// Puts a policy in the place of any with the same name.
    pub fn put(&mut self, name: &str, policy: Policy) {
        self.policies.insert(name.to_owned(), policy);
    }

    /// Takes a policy out.
    pub fn withdraw(&mut self, name: &str) {
        self.policies.remove(name);
    }

    /// Takes every policy out.
    pub fn clear(&mut self) {
        self.policies.clear();
    }

    /// Weights of the first policy that states any.
    pub fn planner_weights(&self) -> Option<&PlannerWeights> {
        self.policies
            .values()
            .find_map(|policy| policy.planner.as_ref())
    }

    /// The verdict on a request; the safe default when nothing matches.
    pub fn evaluate(&self, facts: &RequestFacts) -> Evaluation {
        let mut failures = 0;
        for (name, policy) in &self.policies {
            for rule in &policy.rules {
                match run_condition(&rule.condition, &policy.environment, facts) {
                    ConditionResult::Matches(true) => {
                        return Evaluation {
                            verdict: rule.verdict.clone(),
                            matched: Some(name.clone()),
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
            matched: None,
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
        Ok(_) => ConditionResult::Failed("the condition is neither true nor false".into()),
        Err(error) => ConditionResult::Failed(format!("the condition fails: {error}")),
    }
}
