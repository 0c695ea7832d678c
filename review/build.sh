#!/usr/bin/env bash
# Builds the stand-ins of the review's script with the compiler alone, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/rig review/rig/main.rs
