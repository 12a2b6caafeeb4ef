//! Each name that leaves a process, listed in `docs/outside-names.md`, still stands in the sources of its crate.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

/// The root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The parts of a list entry between backticks.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// The names of each crate's section of the list.
fn listed(list: &str) -> BTreeMap<&str, Vec<&str>> {
    let mut crates = BTreeMap::new();
    for section in list.split("\n## ").skip(1) {
        let (title, body) = section.split_once('\n').expect("a section has a body");
        if title.contains('/') || title == "platform" {
            crates.insert(title, quoted(body).collect());
        }
    }
    crates
}

/// The text of all Rust files under `folder`.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry of a folder").path();
        if path.is_dir() {
            text += &sources(&path);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text += &std::fs::read_to_string(&path).expect("a source file");
        }
    }
    text
}

/// Whether `name` stands in `text` with no letter, digit or underscore next to it.
fn holds(text: &str, name: &str) -> bool {
    let is_part = |c: char| c.is_alphanumeric() || c == '_';
    text.match_indices(name).any(|(at, _)| {
        let before = text[..at].chars().next_back();
        let after = text[at + name.len()..].chars().next();
        !before.is_some_and(is_part) && !after.is_some_and(is_part)
    })
}

#[test]
fn each_listed_name_stands_in_its_crate() {
    let list = std::fs::read_to_string(root().join("docs/outside-names.md")).expect("the list");
    let crates = listed(&list);
    assert!(crates.len() > 20, "sections: {:?}", crates.keys());
    let mut missing = Vec::new();
    for (folder, names) in crates {
        assert!(!names.is_empty(), "{folder} lists no name");
        let text = sources(&root().join(folder).join("src"));
        let lost = names.into_iter().filter(|name| !holds(&text, name));
        missing.extend(lost.map(|name| format!("{folder}: {name}")));
    }
    assert!(missing.is_empty(), "names that are gone: {missing:#?}");
}

#[test]
fn the_deploy_file_keeps_its_keys() {
    let list = std::fs::read_to_string(root().join("docs/outside-names.md")).expect("the list");
    let deploy =
        std::fs::read_to_string(root().join("deploy/system.toml")).expect("the deploy file");
    let section = list
        .split("\n## Deploy file\n")
        .nth(1)
        .expect("a section of the deploy file");
    let section = section.split("\n## ").next().expect("its body");
    let missing: Vec<_> = quoted(section)
        .skip(1)
        .filter(|name| !holds(&deploy, name))
        .collect();
    assert!(missing.is_empty(), "keys that are gone: {missing:?}");
}
