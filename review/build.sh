#!/usr/bin/env bash
# Builds the stand-ins and the programs of the scripted cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/reviewcases ./review/cases
