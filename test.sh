#!/bin/sh
# Runs all checks that a change has to pass; see README.md. The tests in crates/core/tests/source_layout.rs check the size
# limits of the policy files, which are the files that `policy` in deploy/balancer.toml lists. This script skips the tests
# that KNOWN-RED.txt lists, and prints their entries at the end.
set -eu
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
known_red=""
if [ -f KNOWN-RED.txt ]; then
    known_red=$(sed -n 's/^\([A-Za-z0-9_:]*\): .*/\1/p' KNOWN-RED.txt)
fi
set -- --exact
for test in $known_red; do
    set -- "$@" --skip "$test"
done
cargo test --workspace --locked -- "$@"
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
cargo build --release --locked
if [ -n "$known_red" ]; then
    echo "known red, passed over:"
    grep -E '^[A-Za-z0-9_:]+: ' KNOWN-RED.txt
fi
