#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python sources that
# use the standard library only, so this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in [6-9]/*.py 10/*.py; do
    if [ -e "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
    fi
done
