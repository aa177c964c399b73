#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript for Node.js without
# libraries, so that they only have to be checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/case.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
