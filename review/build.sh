#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs without dependencies: the Python of
# Debian comes with the packages of .ci/install (clang-format-14 depends on it), and there is nothing
# to compile. The script checks that they can be read, and that the deploy file's build has been made.
set -eu
cd "$(dirname "$0")"
for program in standins.py [1-5]/case.py; do
    [ -e "$program" ] || continue
    /usr/bin/python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$program"
done
if [ ! -x ../target/tools/trefoil-proxy/trefoil-proxy ]; then
    echo "target/tools/trefoil-proxy/trefoil-proxy is missing: run the build of deploy/system.toml" >&2
    exit 2
fi
