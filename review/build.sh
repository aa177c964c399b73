#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain modules without dependencies, so this
# only checks that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-9]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
