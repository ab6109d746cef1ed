#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/rig/main.rs -o target/review/rig
