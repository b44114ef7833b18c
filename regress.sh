#!/usr/bin/env bash
# The regression test: plays the bench's panels in turn, each by name. Fails where the kit is absent, where a
# panel does not end well, where a day breaks a rule, crashes or scores nothing, or where a gate fails.
# Usage: ./regress.sh KIT [WHY]; not under nohup, which would leave SIGHUP ignored in all balancers.
set -euo pipefail
cd "$(dirname "$0")"
kit=${1:?usage: ./regress.sh KIT [WHY], KIT being the folder with sites/ and more/}
why=${2:-regression test, no change}
ours=sites/rendeles-kozpont.toml
# Of each panel: its name, the program that plays it, the site, and further words for the program. The short days
# are drawn anew each time: no program is fitted to them.
panels=("ops more/ops/bin/lbreal $ours --quick" "later more/ops/bin/lbreal $ours --quick --panel later"
  "size more/bin/lbreal $ours --quick" "mass more/mass/bin/lbreal $ours --quick"
  "brink more/mass/bin/lbreal $ours --panel brink --seed $((RANDOM + 1000))"
  "other more/mass/bin/lbreal more/mass/other/parts-catalogue.toml --quick")
failed=()
for panel in "${panels[@]}"; do
  read -r name program where flags <<<"$panel"
  site=$kit/$where
  read -ra words <<<"$flags"
  for file in "$kit/$program" "$site"; do
    [ -e "$file" ] || { echo "regression: $file is missing, nothing more was tested" >&2; exit 2; }
  done
  echo "== panel $name: $flags"
  if ! report=$("$kit/$program" score "$site" "${words[@]}" --why "$why" 2>&1); then
    failed+=("$name: the bench ended with an error")
  fi
  echo "$report"
  # A short day may serve as little as the plainest policy does: there the gate alone counts.
  nothing='|score 0\.00'
  [ "$name" = brink ] && nothing=
  if grep -qE "BROKEN|crash|GATE failed$nothing" <<<"$report"; then
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
