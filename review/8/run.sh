#!/bin/bash
exec "$(dirname "$0")/../standins-2/run-case.sh" 8 extra-after-failure
