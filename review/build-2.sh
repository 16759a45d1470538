#!/bin/sh
# Builds the stand-ins that the scripts of this review start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
