#!/bin/sh
# Builds the stand-ins of the scripted cases of the third review.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/cases-3
