#!/bin/sh
# Builds the stand-ins of the scripts. It needs nothing but the standard
# library, so no registry is asked.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline \
    --manifest-path review/standin/Cargo.toml --target-dir target/review
