#!/bin/sh
# The stand-ins are plain Python without dependencies: only checked here.
set -e
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
