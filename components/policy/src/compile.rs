//! Compiles a policy document into rules and reports all its mistakes together.

use std::sync::Arc;

use cel::{Env, Program};
use garnet_settings::{Document, Findings, TableReader, nearest};
use garnet_types::verdict::{DEFAULT_DEADLINE, DEFAULT_TENANT_RATE};
use garnet_types::{Class, Millis, Verdict};

use crate::evaluate::{ConditionResult, run_condition};
use crate::facts::{RequestFacts, VARIABLES};

/// Maximum size of a policy document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;
/// Maximum number of rules in a document.
pub const MAX_RULES: usize = 100;
/// Maximum length of a condition in bytes.
const MAX_CONDITION_BYTES: usize = 1024;
/// Maximum deadline that a policy may set: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;
const MAX_TENANT_RATE: f64 = 10_000_000.0;
const MAX_ROLE_CHANGE_PRICE: f64 = 1_000_000.0;

const CLASSES: [(&str, Class); 3] = [
    ("urgent", Class::Urgent),
    ("interactive", Class::Interactive),
    ("deferrable", Class::Deferrable),
];

/// How the role planner weighs goodput against role changes.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerWeights {
    /// Useful answers that a role change must gain to be made.
    pub role_change_price: f64,
}

#[derive(Debug)]
pub(crate) struct Rule {
    pub(crate) condition: Program,
    pub(crate) verdict: Verdict,
}

/// A checked and compiled policy document.
pub struct Policy {
    pub(crate) rules: Vec<Rule>,
    pub(crate) environment: Arc<Env>,
    /// Planner weights, if the document sets them.
    pub planner: Option<PlannerWeights>,
}

impl Policy {
    /// Checks and compiles a document. `file` is the name of the document in findings.
    ///
    /// # Errors
    /// Returns all mistakes of the document, each with its line and key.
    pub fn compile(file: &str, document: &str) -> Result<Policy, Findings> {
        let environment = Arc::new(Env::stdlib());
        Document::read(file, document, |table| {
            if document.len() > MAX_DOCUMENT_BYTES {
                let message = format!("the document is larger than {MAX_DOCUMENT_BYTES} bytes");
                table.report("", message);
            }
            let rules = table.tables("rule", |rule| read_rule(rule, &environment));
            if rules.is_empty() {
                table.report("rule", "at least one [[rule]] is needed");
            }
            if rules.len() > MAX_RULES {
                table.report("rule", format!("more than {MAX_RULES} rules"));
            }
            let planner = table.table("planner", read_planner).flatten();
            Policy {
                rules: rules.into_iter().flatten().collect(),
                environment: Arc::clone(&environment),
                planner,
            }
        })
    }
}

fn read_planner(table: &mut TableReader<'_>) -> Option<PlannerWeights> {
    let price = table.float("role_change_price", 0.0..=MAX_ROLE_CHANGE_PRICE);
    let role_change_price = table.required("role_change_price", price)?;
    Some(PlannerWeights { role_change_price })
}

fn read_rule(table: &mut TableReader<'_>, environment: &Arc<Env>) -> Option<Rule> {
    let condition = table.string("when");
    let condition = table.required("when", condition);
    let condition = condition.and_then(|source| compile_condition(table, &source, environment));
    let class = table.choice("class", &CLASSES);
    let class = table.required("class", class);
    let deadline = table.integer("deadline_ms", 1..=MAX_DEADLINE_MS);
    let may_wait = table.boolean("may_wait");
    let repeatable = table.boolean("repeatable");
    let rate = table.float("tenant_tokens_per_second", 1.0..=MAX_TENANT_RATE);
    let verdict = Verdict {
        class: class?,
        deadline: deadline.map_or(DEFAULT_DEADLINE, Millis),
        may_wait: may_wait.unwrap_or(class == Some(Class::Deferrable)),
        repeatable: repeatable.unwrap_or(true),
        tenant_tokens_per_second: rate.unwrap_or(DEFAULT_TENANT_RATE),
    };
    Some(Rule {
        condition: condition?,
        verdict,
    })
}

fn compile_condition(
    table: &TableReader<'_>,
    source: &str,
    environment: &Arc<Env>,
) -> Option<Program> {
    if source.len() > MAX_CONDITION_BYTES {
        table.report("when", format!("longer than {MAX_CONDITION_BYTES} bytes"));
        return None;
    }
    let program = match environment.compile(source) {
        Ok(program) => program,
        Err(errors) => {
            for error in &errors.errors {
                let message = format!("column {}: {}", error.pos.1, error.msg);
                table.report("when", message);
            }
            return None;
        }
    };
    let all_variables_known = check_variables(table, &program);
    (all_variables_known && check_result(table, &program, environment)).then_some(program)
}

fn check_variables(table: &TableReader<'_>, program: &Program) -> bool {
    let references = program.references();
    let mut unknown: Vec<&str> = references
        .variables()
        .into_iter()
        .filter(|name| !VARIABLES.contains(name))
        .collect();
    unknown.sort_unstable();
    for name in &unknown {
        let hint = match nearest(name, &VARIABLES) {
            Some(suggestion) => format!("did you mean \"{suggestion}\"?"),
            None => format!("known are {}", VARIABLES.join(", ")),
        };
        table.report("when", format!("unknown variable \"{name}\"; {hint}"));
    }
    unknown.is_empty()
}

/// Evaluates the condition once on an empty request, to find conditions that don't return a
/// boolean or can't be evaluated at all.
fn check_result(table: &TableReader<'_>, program: &Program, environment: &Arc<Env>) -> bool {
    match run_condition(program, environment, &RequestFacts::default()) {
        ConditionResult::Matches(_) => true,
        ConditionResult::Failed(reason) => {
            table.report("when", reason);
            false
        }
    }
}
