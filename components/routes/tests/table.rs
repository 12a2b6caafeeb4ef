//! Route tables: findings, look-ups and weighted splits.

use garnet_routes::{RouteIndex, read_document};
use rstest::rstest;

const VALID: &str = r#"{"version":7,"routes":[
 {"name":"offers","host":"shop.example","path_prefix":"/offers/","kind":"stream","timeout_ms":4000,"objective_ms":600,"services":[{"service":"words","weight":90},{"service":"till","weight":10}]},
 {"name":"gems","host":"shop.example","path_prefix":"/offers/gems/","kind":"repeatable","timeout_ms":1000,"objective_ms":100,"max_attempts":2,"services":[{"service":"till","weight":1}]}],
 "services":[{"name":"words","max_connections":10},{"name":"till","max_connections":10}]}"#;

#[test]
fn the_longest_prefix_wins() {
    let index = RouteIndex::new(read_document(VALID).expect("valid"));
    let name = |host, path| index.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("shop.example", "/offers/1").as_deref(), Some("offers"));
    assert_eq!(
        name("SHOP.example:80", "/offers/gems/1").as_deref(),
        Some("gems")
    );
    assert_eq!(name("shop.example", "/offers"), None);
    assert_eq!(name("other.example", "/offers/1"), None);
}

#[test]
fn a_split_follows_its_weights() {
    let index = RouteIndex::new(read_document(VALID).expect("valid"));
    let route = index.find("shop.example", "/offers/1").expect("a route");
    let words = (0..1000)
        .filter(|draw| {
            let service = route.pick_service(f64::from(*draw) / 1000.0);
            service.is_some_and(|service| service.as_str() == "words")
        })
        .count();
    assert_eq!(words, 900);
}

#[rstest]
#[case::truncated(r#"{"version":7,"routes":["#, &["line 1 column 23"])]
#[case::unknown_service(&VALID.replacen("\"service\":\"words\"", "\"service\":\"none\"", 1), &["routes[0].services[0]"])]
#[case::duplicate_route(&VALID.replace("/offers/gems/", "/offers/"), &["routes[1].path_prefix"])]
#[case::no_weight(&VALID.replace("\"weight\":1}", "\"weight\":0}"), &["routes[1].services"])]
#[case::zero_timeout(&VALID.replace("\"timeout_ms\":4000", "\"timeout_ms\":0"), &["routes[0].timeout_ms"])]
#[case::all_findings_together(&VALID.replace("\"timeout_ms\":4000", "\"timeout_ms\":0").replace("\"weight\":1}", "\"weight\":0}"), &["routes[0].timeout_ms", "routes[1].services"])]
fn findings_name_their_place(#[case] text: &str, #[case] places: &[&str]) {
    let findings = read_document(text).expect_err("invalid");
    let found: Vec<&str> = findings.0.iter().map(|f| f.place.as_str()).collect();
    assert_eq!(found, places, "{findings}");
}
