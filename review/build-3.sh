#!/bin/bash
# The stand-ins and cases are plain JavaScript; this checks that they load.
cd "$(dirname "$0")" || exit 1
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
