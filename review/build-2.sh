#!/usr/bin/env bash
# Builds what the scripts of this review start besides the deploy file's build: their
# stand-ins, which use the standard library only, so that they are merely compiled.
set -euo pipefail
cd "$(dirname "$0")"
for folder in common-2 6 7 8 9 10; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
