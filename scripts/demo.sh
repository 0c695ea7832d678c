#!/usr/bin/env bash
# Builds everything and shows the whole path once; see README.md.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet
exec ./target/release/tealcleat-load demo
