//! Checks of policy documents, and the order in which rules match.

use garnet_policy::{Policy, PolicySet, RequestFacts};
use garnet_types::{Class, Millis, Verdict};
use rstest::rstest;

const TEN_MISTAKES: &str = r#"
colour = "red"
[[rule]]
when = 'service == '
class = "urgent"
[[rule]]
when = 'modle == "m"'
class = "urgnet"
deadline_ms = 0
[[rule]]
when = 'prompt_tokens + 1'
class = "urgent"
may_wait = "no"
tenant_tokens_per_second = -1
[[rule]]
deadlin_ms = 5
class = "urgent"
[planner]
role_change_price = "high"
"#;

#[test]
fn each_mistake_is_a_finding_with_line_and_key() {
    let findings = Policy::compile("p.toml", TEN_MISTAKES)
        .err()
        .expect("findings")
        .0;
    let positions: Vec<(usize, &str)> = findings
        .iter()
        .map(|finding| (finding.line, finding.key.as_str()))
        .collect();
    for expected in [
        (2, "colour"),
        (4, "rule[0].when"),
        (7, "rule[1].when"),
        (8, "rule[1].class"),
        (9, "rule[1].deadline_ms"),
        (11, "rule[2].when"),
        (13, "rule[2].may_wait"),
        (14, "rule[2].tenant_tokens_per_second"),
        (15, "rule[3].when"),
        (16, "rule[3].deadlin_ms"),
        (19, "planner.role_change_price"),
    ] {
        assert!(
            positions.contains(&expected),
            "{expected:?} in {positions:?}"
        );
    }
    let text = findings.iter().map(ToString::to_string).collect::<Vec<_>>();
    assert!(
        text.iter()
            .any(|line| line.contains("did you mean \"model\"?"))
    );
    assert!(
        text.iter()
            .any(|line| line.contains("did you mean \"deadline_ms\"?"))
    );
}

#[rstest]
#[case::empty("", "at least one [[rule]]")]
#[case::not_toml("[[rule", "")]
#[case::unknown_function("[[rule]]\nwhen = 'frob(service)'\nclass = 'urgent'", "fails")]
fn invalid_documents_are_refused(#[case] document: &str, #[case] expected_text: &str) {
    let findings = Policy::compile("p.toml", document).err().expect("findings");
    assert!(findings.to_string().contains(expected_text), "{findings}");
}

fn facts(service: &str, path: &str) -> RequestFacts {
    RequestFacts {
        service: service.into(),
        path: path.into(),
        ..RequestFacts::default()
    }
}

#[test]
fn the_first_matching_rule_determines_the_verdict() {
    let mut set = PolicySet::default();
    let document = r#"
[[rule]]
when = 'path.startsWith("/basket")'
class = "urgent"
deadline_ms = 700
repeatable = false
[[rule]]
when = 'true'
class = "deferrable"
"#;
    set.put("b", Policy::compile("b", document).expect("valid policy"));
    let basket = set.evaluate(&facts("tillside", "/basket/1")).verdict;
    assert_eq!(basket.class, Class::Urgent);
    assert_eq!(basket.deadline, Millis(700));
    assert!(!basket.repeatable);
    let other = set.evaluate(&facts("tillside", "/receipt/1")).verdict;
    assert_eq!(other.class, Class::Deferrable);
    assert!(other.may_wait, "deferrable work may wait by default");
}

#[test]
fn a_condition_whose_evaluation_fails_is_counted_and_gives_the_safe_verdict() {
    let mut set = PolicySet::default();
    // Valid on an empty request, but divides by zero for two prompt tokens.
    let document = "[[rule]]\nwhen = '100 / (prompt_tokens - 2) > 0'\nclass = 'urgent'";
    set.put("p", Policy::compile("p", document).expect("valid policy"));
    let two = RequestFacts {
        prompt_tokens: 2,
        ..RequestFacts::default()
    };
    let evaluation = set.evaluate(&two);
    assert_eq!(evaluation.failures, 1);
    assert_eq!(evaluation.matched_policy, None);
    assert_eq!(evaluation.verdict, Verdict::default());
}
