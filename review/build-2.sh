#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-cases-2 ./review/cases-2
