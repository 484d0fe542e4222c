#!/usr/bin/env bash
# One machine restarts as planned; a flow that pauses must reach its host.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../standins-2/run_case.sh"
run_case "$folder" planned-restart
