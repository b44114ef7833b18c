#!/usr/bin/env bash
# The regression test: plays the bench's panels in turn, each by name. Fails where the kit is absent, where a
# panel does not end well, where a day breaks a rule, crashes or scores nothing, or where a gate fails.
# Usage: ./regress.sh KIT [WHY]; not under nohup, which would leave SIGHUP ignored in all balancers.
set -euo pipefail
cd "$(dirname "$0")"
kit=${1:?usage: ./regress.sh KIT [WHY], KIT being the folder with sites/ and more/}
why=${2:-regression test, no change}
site=$kit/sites/rendeles-kozpont.toml
# Of each panel: its name, the program that plays it, and the program's own name for it if it has one.
panels=("ops more/ops/bin/lbreal" "later more/ops/bin/lbreal later" "size more/bin/lbreal"
  "mass more/mass/bin/lbreal")
failed=()
for panel in "${panels[@]}"; do
  read -r name program flag <<<"$panel"
  for file in "$kit/$program" "$site"; do
    [ -e "$file" ] || { echo "regression: $file is missing, nothing more was tested" >&2; exit 2; }
  done
  echo "== panel $name"
  if ! report=$("$kit/$program" score "$site" ${flag:+--panel "$flag"} --quick --why "$why" 2>&1); then
    failed+=("$name: the bench ended with an error")
  fi
  echo "$report"
  if grep -qE 'BROKEN|crash|GATE failed|score 0\.00' <<<"$report"; then
    failed+=("$name: a rule was broken, a gate failed, or a day counts for nothing")
  elif ! grep -q '^score of the real nodes' <<<"$report"; then
    failed+=("$name: no score")
  fi
done
if [ ${#failed[@]} -gt 0 ]; then
  printf 'regression: FAILED: %s\n' "${failed[@]}" >&2
  exit 1
fi
echo "regression: all panels passed"
