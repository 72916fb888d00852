#!/usr/bin/env bash
# Plays the case with the project's own fronts and workers. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. With TROUBLE=0 it does the same without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review/standins late-admission review/3/record.txt
