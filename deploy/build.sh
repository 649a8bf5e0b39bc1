#!/bin/sh
# Puts the libraries and the packages that run on the platform under target/deps.
set -eu
if [ ! target/deps/.installed -nt requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps -r requirements.txt
    touch target/deps/.installed
fi
for package in packages/core/src/mulberryslip packages/daemon/src/mulberryslipd \
    platform/mulberryslip_platform; do
    rm -rf "target/deps/$(basename "$package")"
    cp -r "$package" target/deps/
done
