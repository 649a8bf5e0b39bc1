#!/bin/sh
# Builds what the scripts of the second review need beyond the deployment: their stand-ins, which
# use the standard library only. They run from `review/standins-2`.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for module in review/standins-2/*.py; do
    python3 -c "import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)" \
        "$module" "target/review-2/$(basename "$module")c"
done
