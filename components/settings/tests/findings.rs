//! All errors of a document are reported, with their lines and keys.

use garnet_settings::{Document, Findings, TableReader};

const TEN_MISTAKES: &str = r#"
name = 7
port = 70000
ratio = "half"
enabled = "yes"
colour = "purple"
hosts = "one"
nmae = "typo"
[limit]
most = -1
lesat = 3
other = 4
"#;

fn read(table: &mut TableReader<'_>) {
    table.string("name");
    table.integer("port", 1..=65_535);
    table.float("ratio", 0.0..=1.0);
    table.boolean("enabled");
    table.choice("colour", &[("red", 1), ("blue", 2)]);
    table.strings("hosts");
    table.table("limit", |limit| {
        limit.integer("most", 1..=10);
        limit.integer("least", 1..=10);
    });
}

fn findings(text: &str) -> Findings {
    match Document::read("settings.toml", text, read) {
        Ok(()) => Findings::default(),
        Err(findings) => findings,
    }
}

#[test]
fn ten_errors_are_ten_findings() {
    let text = findings(TEN_MISTAKES).to_string();
    assert_eq!(text.lines().count(), 10, "{text}");
}

#[test]
fn a_finding_names_file_line_and_key() {
    let text = findings(TEN_MISTAKES).to_string();
    let port = text.lines().find(|line| line.contains("port"));
    let port = port.expect("the port is out of range");
    assert!(port.contains("settings.toml:3"), "{port}");
}

#[test]
fn an_unknown_key_suggests_the_nearest_known_key() {
    let text = findings(TEN_MISTAKES).to_string();
    let unknown = |key: &str| text.lines().find(|line| line.contains(key));
    assert!(
        unknown("nmae").is_some_and(|line| line.contains("\"name\"")),
        "{text}"
    );
    assert!(
        unknown("lesat").is_some_and(|line| line.contains("\"least\"")),
        "{text}"
    );
}

#[test]
fn a_syntax_error_is_one_finding_with_its_line() {
    let text = findings("name = \"a\"\nport = = 3\n").to_string();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("settings.toml:2"), "{text}");
}

#[test]
fn a_valid_document_has_no_findings() {
    let text = "name = \"a\"\nport = 80\nhosts = [\"one\"]\n[limit]\nmost = 3\n";
    assert_eq!(findings(text).to_string(), "");
}
