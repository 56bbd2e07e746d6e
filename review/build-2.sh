#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the compiler alone and without a network. The deploy file's `build`
# has to run before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    if [ -f "review/$case/case.rs" ]; then
        rustc --edition 2024 -O --crate-name "case_$case" -o "target/review-2/case-$case" "review/$case/case.rs"
    fi
done
