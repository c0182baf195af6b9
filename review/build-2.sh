#!/usr/bin/env bash
# Prepares the stand-ins of the second review. They are plain JavaScript modules; nothing is compiled.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for file in standins-2/*.mjs; do node --check "$file"; done
