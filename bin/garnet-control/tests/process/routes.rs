//! The route table through the operators' interface of real processes.

use crate::group::Group;

fn document(version: u64, timeout_ms: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"offers\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/offers/\",\"kind\":\"repeatable\",\"timeout_ms\":{timeout_ms},\
         \"objective_ms\":100,\"services\":[{{\"service\":\"{service}\",\"weight\":1}}]}}],\
         \"services\":[{{\"name\":\"till\",\"max_connections\":9}}]}}"
    )
}

#[test]
fn the_highest_version_is_read_back_as_it_was_written() {
    let mut group = Group::start();
    let missing = group.ask_until_decided("GET", "routes", "");
    assert!(missing.starts_with("HTTP/1.1 404"), "{missing}");
    let seven = document(7, 1000, "till");
    let older = document(3, 2000, "till");
    for body in [&seven, &older, &seven] {
        let answer = group.ask_until_decided("PUT", "routes", body);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let read = group.ask_until_decided("GET", "routes", "");
    assert!(read.ends_with(&seven), "{read}");
    // Every finding together, and nothing of it in force.
    let invalid = group.ask_until_decided("PUT", "routes", &document(9, 0, "nobody"));
    assert!(invalid.starts_with("HTTP/1.1 400"), "{invalid}");
    for place in ["routes[0].timeout_ms", "routes[0].services[0]"] {
        assert!(invalid.contains(place), "{place}: {invalid}");
    }
    let cut = group.ask_until_decided("PUT", "routes", &seven[..seven.len() / 2]);
    assert!(cut.starts_with("HTTP/1.1 400"), "{cut}");
    for place in 0..3 {
        group.kill(place);
    }
    for place in 0..3 {
        group.restart(place);
    }
    let read = group.ask_until_decided("GET", "routes", "");
    assert!(read.ends_with(&seven), "{read}");
}
