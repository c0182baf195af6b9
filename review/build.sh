#!/usr/bin/env bash
# The stand-ins of the cases are plain modules without dependencies, so nothing is built. Checks that they can be read.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
