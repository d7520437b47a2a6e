#!/bin/sh
# Builds the stand-ins of the second review. Run after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target/review-2" cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml
