//! Tenants, their keys and their priorities.

use garnet_routes::{
    ApiKey, KeyDigest, Route, RouteIndex, RouteTable, Tenant, WorkKind, read_document,
};
use garnet_types::{Millis, TenantId};
use rstest::rstest;

fn key(text: &str) -> ApiKey {
    ApiKey::new(text).expect("a key")
}

fn tenant(name: &str, priority: Option<u8>, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantId::new(name),
        priority,
        keys: keys.iter().map(|text| key(text).digest()).collect(),
    }
}

fn route(priority: u8) -> Route {
    Route {
        name: format!("r{priority}"),
        host: "f.example".into(),
        path_prefix: format!("/{priority}/"),
        kind: WorkKind::Repeatable,
        timeout_ms: Millis(1000),
        objective_ms: Millis(100),
        pause_objective_ms: None,
        priority,
        max_attempts: 1,
        public: false,
        services: Vec::new(),
    }
}

fn table(tenants: Vec<Tenant>) -> RouteTable {
    RouteTable {
        version: 1,
        tenants: Some(tenants),
        ..RouteTable::default()
    }
}

fn places(table: &RouteTable) -> Vec<String> {
    let findings = table.check().err().unwrap_or_default();
    findings
        .0
        .into_iter()
        .map(|finding| finding.place)
        .collect()
}

#[test]
fn a_tenant_is_found_by_its_keys() {
    let tenants = vec![
        tenant("one", None, &["k1", "k2"]),
        tenant("two", None, &["k3"]),
    ];
    let index = RouteIndex::new(table(tenants));
    let name = |text: &str| index.tenant_of(&key(text)).map(|t| t.name.as_str());
    assert_eq!(name("k2"), Some("one"));
    assert_eq!(name("k3"), Some("two"));
    assert_eq!(name("k4"), None);
}

#[test]
fn a_table_without_tenants_asks_for_no_keys() {
    assert!(!RouteIndex::new(RouteTable::default()).asks_for_keys());
    assert!(RouteIndex::new(table(Vec::new())).asks_for_keys());
}

#[test]
fn all_findings_of_tenants_are_reported_together() {
    let tenants = vec![
        tenant("one", None, &["k1", "k1"]),
        tenant("one", None, &["k2", "k1"]),
        tenant("", None, &[]),
        tenant("two words", None, &[]),
    ];
    let expected = [
        "tenants[1].name",
        "tenants[1].keys[1]",
        "tenants[2].name",
        "tenants[3].name",
    ];
    assert_eq!(places(&table(tenants)), expected);
}

#[test]
fn a_tenant_may_list_a_key_twice() {
    let tenants = vec![tenant("one", None, &["k1", "k1"])];
    assert_eq!(places(&table(tenants)), Vec::<String>::new());
}

/// The expected priorities are those on routes of the priorities 0, 1 and 2.
#[rstest]
#[case::no_priority(None, [0, 1, 2])]
#[case::least_urgent(Some(1), [0, 1, 2])]
#[case::urgent(Some(0), [0, 0, 0])]
fn a_tenants_priority_takes_precedence_over_the_routes(
    #[case] priority: Option<u8>,
    #[case] expected: [u8; 3],
) {
    let tenants = vec![
        tenant("asked", priority, &["k1"]),
        tenant("other", Some(1), &["k2"]),
    ];
    let routes = vec![route(0), route(1), route(2)];
    let index = RouteIndex::new(RouteTable {
        routes: routes.clone(),
        ..table(tenants)
    });
    let asked = index.tenant_of(&key("k1"));
    let priorities: Vec<u8> = routes
        .iter()
        .map(|route| index.priority(route, asked))
        .collect();
    assert_eq!(priorities, expected);
}

#[test]
fn debug_output_does_not_reveal_a_key() {
    let secret = "s3cret-of-one";
    let printed = format!("{:?} {:?}", key(secret), tenant("one", None, &[secret]));
    assert!(!printed.contains(secret), "{printed}");
}

#[test]
fn a_digest_survives_formatting_and_parsing() {
    let digest = key("k1").digest();
    let text = digest.to_string();
    assert_eq!(text.parse::<KeyDigest>(), Ok(digest));
    let invalid = text.replace(|c: char| c.is_ascii_hexdigit() && c.is_lowercase(), "x");
    assert!(invalid.parse::<KeyDigest>().is_err());
    assert!(text[..70].parse::<KeyDigest>().is_err());
    assert!("k1".parse::<KeyDigest>().is_err());
}

#[test]
fn a_document_accepts_digests_and_no_plain_keys() {
    let digest = key("k1").digest();
    let document = |key: &str| {
        format!(
            "{{\"version\":1,\"routes\":[],\"services\":[],\
             \"tenants\":[{{\"name\":\"one\",\"keys\":[\"{key}\"]}}]}}"
        )
    };
    let parsed = read_document(&document(&digest.to_string())).expect("valid");
    assert!(RouteIndex::new(parsed).tenant_of(&key("k1")).is_some());
    let findings = read_document(&document("k1-secret")).expect_err("no digest");
    assert!(!findings.to_string().contains("k1-secret"), "{findings}");
}
