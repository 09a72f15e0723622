#!/bin/bash
# Runs case 2; see claim.txt and ../run-case.sh.
exec "$(dirname "$0")/../run-case.sh" 2
