//! Tests of the policy files, which are the source files with the balancer's decision logic. The deploy file
//! must list exactly these files, and each must be short enough to be read whole.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of lines in a policy file, not counting blank lines.
const MAX_LINES_PER_FILE: usize = 400;
/// Maximum length of a line in a policy file.
const MAX_CHARACTERS_PER_LINE: usize = 110;
/// Source files of the core that contain only types and arithmetic.
const FILES_WITHOUT_DECISION_LOGIC: [&str; 7] = [
    "crates/core/src/action.rs",
    "crates/core/src/event.rs",
    "crates/core/src/ids.rs",
    "crates/core/src/lib.rs",
    "crates/core/src/random.rs",
    "crates/core/src/settings.rs",
    "crates/core/src/time.rs",
];

fn workspace_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .expect("the crate is two directories below the workspace root")
}

/// Returns the files that the `policy` key of the deploy file lists.
fn policy_files(deploy_file: &str) -> BTreeSet<String> {
    let line = deploy_file
        .lines()
        .find_map(|line| line.strip_prefix("policy = ["))
        .expect("a line of the deploy file starts with `policy = [`");
    let (names, _) = line.split_once(']').expect("the policy list ends on the same line");
    names.split(',').map(|name| name.trim().trim_matches('"').to_owned()).collect()
}

fn deploy_file() -> String {
    fs::read_to_string(workspace_root().join("deploy/balancer.toml")).expect("the deploy file is readable")
}

/// Returns all Rust files in a directory and its subdirectories, as paths relative to the workspace root.
fn rust_files(directory: PathBuf) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for entry in fs::read_dir(directory).expect("the directory is readable") {
        let path = entry.expect("the directory entry is readable").path();
        if path.is_dir() {
            found.extend(rust_files(path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let relative_path =
                path.strip_prefix(workspace_root()).expect("the file is below the workspace root");
            found.insert(relative_path.to_str().expect("the path is valid UTF-8").to_owned());
        }
    }
    found
}

/// Returns a description of each limit that a policy file with this text exceeds.
fn violations(text: &str) -> Vec<String> {
    let line_count = text.lines().filter(|line| !line.trim().is_empty()).count();
    let mut found = Vec::new();
    if line_count > MAX_LINES_PER_FILE {
        found.push(format!("{line_count} lines, at most {MAX_LINES_PER_FILE} are allowed"));
    }
    for line in text.lines().filter(|line| line.chars().count() > MAX_CHARACTERS_PER_LINE) {
        found.push(format!("a line of {} characters: {line}", line.chars().count()));
    }
    found
}

#[test]
fn every_policy_file_is_within_the_size_limits() {
    for name in policy_files(&deploy_file()) {
        let text = fs::read_to_string(workspace_root().join(&name)).expect("the policy file is readable");
        let found = violations(&text);
        assert!(found.is_empty(), "{name} exceeds the limits: {found:?}");
    }
}

#[test]
fn the_deploy_file_lists_exactly_the_policy_files() {
    let mut expected_policy_files = rust_files(workspace_root().join("crates/core/src"));
    for name in FILES_WITHOUT_DECISION_LOGIC {
        assert!(expected_policy_files.remove(name), "{name} is not in the source directory");
    }
    assert_eq!(policy_files(&deploy_file()), expected_policy_files);
}

#[test]
fn a_file_one_line_or_one_character_over_a_limit_is_reported() {
    let longest_allowed = "x\n\n".repeat(MAX_LINES_PER_FILE);
    assert!(violations(&longest_allowed).is_empty(), "blank lines were counted");
    assert_eq!(violations(&(longest_allowed + "y\n")).len(), 1);
    assert!(
        violations(&"é".repeat(MAX_CHARACTERS_PER_LINE)).is_empty(),
        "bytes were counted instead of characters"
    );
    assert_eq!(violations(&"x".repeat(MAX_CHARACTERS_PER_LINE + 1)).len(), 1);
}
