#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." &&
    PYTHONPATH=review exec python3 review/2/case.py
