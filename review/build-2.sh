#!/bin/sh
# Builds the stand-ins of the second review: Python modules without further
# dependencies.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile support_2.py
