#!/bin/sh
# Builds the stand-ins of the scripts; `masticstaird` comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
