//! The decisions stay small enough to be read whole: all files that decide are named in the deploy file, together they
//! hold at most 1,200 lines that are not blank, and no line is longer than 110 characters.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const LINES_MOST: usize = 1200;
const CHARACTERS_MOST: usize = 110;
/// The files of the core that hold types and arithmetic alone.
const NOT_DECIDING: [&str; 7] = [
    "crates/core/src/action.rs",
    "crates/core/src/event.rs",
    "crates/core/src/ids.rs",
    "crates/core/src/lib.rs",
    "crates/core/src/settings.rs",
    "crates/core/src/state.rs",
    "crates/core/src/stats.rs",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("the root of the workspace")
}

/// The files that the deploy file's `policy` names.
fn policy(deploy: &str) -> BTreeSet<String> {
    let line = deploy.lines().find_map(|line| line.strip_prefix("policy = [")).expect("a policy in one line");
    let (names, _) = line.split_once(']').expect("an end of the list");
    names.split(',').map(|name| name.trim().trim_matches('"').to_owned()).collect()
}

fn deploy() -> String {
    fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file")
}

/// All Rust files below a folder, as paths from the root.
fn sources(folder: PathBuf) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            found.extend(sources(path));
        } else if path.extension().is_some_and(|e| e == "rs") {
            let from_root = path.strip_prefix(root()).expect("below the root");
            found.insert(from_root.to_str().expect("a name in UTF-8").to_owned());
        }
    }
    found
}

/// What of the files' texts goes over the limits.
fn breaches(texts: &[String]) -> Vec<String> {
    let filled = texts.iter().flat_map(|text| text.lines()).filter(|l| !l.trim().is_empty()).count();
    let mut found = Vec::new();
    if filled > LINES_MOST {
        found.push(format!("{filled} lines, {LINES_MOST} at most"));
    }
    for line in texts.iter().flat_map(|text| text.lines()).filter(|l| l.chars().count() > CHARACTERS_MOST) {
        found.push(format!("{} characters: {line}", line.chars().count()));
    }
    found
}

#[test]
fn the_decisions_are_within_their_limits() {
    let read = |name: &String| fs::read_to_string(root().join(name)).expect("a file that the policy names");
    let texts: Vec<String> = policy(&deploy()).iter().map(read).collect();
    let found = breaches(&texts);
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn the_deploy_file_names_all_files_that_decide_and_no_others() {
    let mut deciding = sources(root().join("crates/core/src"));
    for name in NOT_DECIDING {
        assert!(deciding.remove(name), "{name} is no more");
    }
    assert_eq!(policy(&deploy()), deciding);
}

#[test]
fn one_line_or_one_character_too_many_is_seen() {
    let half = "x\n\n".repeat(LINES_MOST / 2);
    assert!(breaches(&[half.clone(), half.clone()]).is_empty(), "blank lines do not count");
    assert_eq!(breaches(&[half.clone(), half + "y\n"]).len(), 1, "the files count together");
    assert!(breaches(&["é".repeat(CHARACTERS_MOST)]).is_empty(), "characters, not bytes");
    assert_eq!(breaches(&["x".repeat(CHARACTERS_MOST + 1)]).len(), 1);
}
