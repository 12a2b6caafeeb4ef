//! A start that can't be good does not happen, and says why.

use std::process::Output;

use crate::running::{Running, run_to_end, settings};

const WRONG_SETTINGS: i32 = 2;
const FAILED: i32 = 1;

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn every_mistake_of_the_settings_is_found_and_nothing_starts() {
    let output = run_to_end(
        "nmae = \"g\"\nlisten = \"here\"\nmax_body_bytes = 1\ngrace_ms = 1\n",
        &[],
    );
    let text = error_text(&output);
    assert_eq!(output.status.code(), Some(WRONG_SETTINGS), "{text}");
    for key in [
        "nmae",
        "name",
        "data",
        "listen",
        "controls",
        "max_body_bytes",
        "grace_ms",
    ] {
        assert!(text.contains(key), "{key}: {text}");
    }
}

#[test]
fn a_check_of_good_settings_starts_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let data = folder.path().join("data");
    let output = run_to_end(&settings("127.0.0.1:0", &data), &["--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", error_text(&output));
    assert!(!data.exists());
}

#[test]
fn a_port_in_use_is_named() {
    let other = Running::start();
    let folder = tempfile::tempdir().expect("a folder");
    let output = run_to_end(&settings(&other.address, &folder.path().join("data")), &[]);
    let text = error_text(&output);
    assert_eq!(output.status.code(), Some(FAILED), "{text}");
    assert!(text.contains(&other.address), "{text}");
}

#[test]
fn a_data_folder_that_is_a_file_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("data");
    std::fs::write(&file, "something else").expect("written");
    let output = run_to_end(&settings("127.0.0.1:0", &file), &[]);
    assert_eq!(
        output.status.code(),
        Some(FAILED),
        "{}",
        error_text(&output)
    );
    let kept = std::fs::read_to_string(&file).expect("still there");
    assert_eq!(kept, "something else");
}
