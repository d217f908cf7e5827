#!/bin/sh
# Builds the stand-ins of case 15. The hosts come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-ins review/stand-ins-3/main.rs
