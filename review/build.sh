#!/usr/bin/env bash
# Builds the stand-ins, the cases and the probes of this review into target/review.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
mkdir -p "$root/target/review"
javac -nowarn -d "$root/target/review" "$root"/review/rig/*.java "$root"/review/[1-5]/*.java "$root"/review/probes/*.java
