#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption; SEED chooses the traffic.
cd "$(dirname "$0")" || exit 2
exec python3 -B play.py
