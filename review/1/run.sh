#!/usr/bin/env bash
# Exits with 1 if two hosts ordered one worker within lease_ms, 0 if not, 2 if the case could not run. TROUBLE=0 plays the
# same without the disruptions. Takes about 95 s and writes record.txt beside this file.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/tealcleatd ] || { echo "build first" >&2; exit 2; }
RIG_PIDS="$(mktemp)" || exit 2
export RIG_PIDS
timeout --kill-after=3 112 target/review/rig "$folder"
code=$?
# The stand-in ends its hosts itself, unless it was ended.
if [ "$code" -gt 2 ]; then
  while IFS= read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$RIG_PIDS"
fi
rm -f "$RIG_PIDS"
[ "$code" -le 1 ] || exit 2
exit "$code"
