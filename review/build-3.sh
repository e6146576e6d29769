#!/bin/sh
# Builds what the scripts in review/11 to review/15 start beside the daemons: their stand-ins are one Python module of the
# standard library, so there is nothing to compile; checks that it loads.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c 'import sys; sys.path.insert(0, "harness-4"); import standin; print("review/harness-4: ok")'
