#!/bin/sh
# Compiles the stand-ins of all scripts. They use the standard library alone and start
# the project's programs from target/, which the build of the deploy file fills.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review || exit 2
[ -f target/app/gateway.py ] && [ -d target/deps/aiohttp ] || {
    echo "target/ is missing: run the build of deploy/system.toml first" >&2
    exit 2
}
