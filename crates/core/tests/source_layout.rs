//! The deploy file names every file that decides, and each of these files stays small enough to be read
//! whole.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The most lines, blank ones aside, of one file that decides.
const MAX_LINES_PER_FILE: usize = 400;
const MAX_CHARACTERS_PER_LINE: usize = 110;
/// The files of the core that hold types and arithmetic only.
const NOT_DECIDING: [&str; 7] = [
    "crates/core/src/action.rs",
    "crates/core/src/event.rs",
    "crates/core/src/ids.rs",
    "crates/core/src/lib.rs",
    "crates/core/src/random.rs",
    "crates/core/src/settings.rs",
    "crates/core/src/time.rs",
];

fn workspace_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("the root of the workspace")
}

/// The files that the deploy file's `policy` names.
fn policy_files(deploy_file: &str) -> BTreeSet<String> {
    let line =
        deploy_file.lines().find_map(|line| line.strip_prefix("policy = [")).expect("a policy in one line");
    let (names, _) = line.split_once(']').expect("an end of the list");
    names.split(',').map(|name| name.trim().trim_matches('"').to_owned()).collect()
}

fn deploy_file() -> String {
    fs::read_to_string(workspace_root().join("deploy/balancer.toml")).expect("the deploy file")
}

/// All Rust files below a folder, as paths from the root of the workspace.
fn rust_files(folder: PathBuf) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            found.extend(rust_files(path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let from_root = path.strip_prefix(workspace_root()).expect("below the root");
            found.insert(from_root.to_str().expect("a name in UTF-8").to_owned());
        }
    }
    found
}

/// What of one file's text exceeds the limits.
fn violations(text: &str) -> Vec<String> {
    let line_count = text.lines().filter(|line| !line.trim().is_empty()).count();
    let mut found = Vec::new();
    if line_count > MAX_LINES_PER_FILE {
        found.push(format!("{line_count} lines, {MAX_LINES_PER_FILE} at most"));
    }
    for line in text.lines().filter(|line| line.chars().count() > MAX_CHARACTERS_PER_LINE) {
        found.push(format!("{} characters: {line}", line.chars().count()));
    }
    found
}

#[test]
fn every_file_that_decides_is_within_its_limits() {
    for name in policy_files(&deploy_file()) {
        let text = fs::read_to_string(workspace_root().join(&name)).expect("a file that the policy names");
        let found = violations(&text);
        assert!(found.is_empty(), "{name}: {found:?}");
    }
}

#[test]
fn the_deploy_file_names_every_file_that_decides_and_no_other() {
    let mut deciding = rust_files(workspace_root().join("crates/core/src"));
    for name in NOT_DECIDING {
        assert!(deciding.remove(name), "{name} does not exist");
    }
    assert_eq!(policy_files(&deploy_file()), deciding);
}

#[test]
fn one_line_or_one_character_too_many_is_reported() {
    let longest = "x\n\n".repeat(MAX_LINES_PER_FILE);
    assert!(violations(&longest).is_empty(), "blank lines do not count");
    assert_eq!(violations(&(longest + "y\n")).len(), 1);
    assert!(violations(&"é".repeat(MAX_CHARACTERS_PER_LINE)).is_empty(), "characters, not bytes");
    assert_eq!(violations(&"x".repeat(MAX_CHARACTERS_PER_LINE + 1)).len(), 1);
}
