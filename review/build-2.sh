#!/usr/bin/env bash
# Checks that all modules of the scripts of the second review compile; they need nothing but Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
for module in standins_2/*.py 4/*.py 5/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$module"
done
