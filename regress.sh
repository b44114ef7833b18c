#!/usr/bin/env bash
# The regression test: plays the panels of the operators' bench one after the other. Fails where the kit is absent,
# where a panel ends with an error, where a day breaks a rule, crashes or scores 0, or where a gate fails.
# Usage: ./regress.sh KIT [WHY]; not under nohup, which would leave SIGHUP ignored in all balancers.
set -euo pipefail
cd "$(dirname "$0")"
kit=${1:?usage: ./regress.sh KIT [WHY], KIT being the folder with sites/ and more/}
why=${2:-regression test, no change}
own_site=sites/rendeles-kozpont.toml
# Of each panel: its name, the program that plays it, the site, and the program's further arguments. The seed of the
# short days is random, so that no program can be fitted to them.
panels=("ops more/ops/bin/lbreal $own_site --quick" "later more/ops/bin/lbreal $own_site --quick --panel later"
  "size more/bin/lbreal $own_site --quick" "mass more/mass/bin/lbreal $own_site --quick"
  "brink more/mass/bin/lbreal $own_site --panel brink --seed $((RANDOM + 1000))"
  "other more/mass/bin/lbreal more/mass/other/parts-catalogue.toml --quick")
failed=()
for panel in "${panels[@]}"; do
  read -r name program site_path arguments <<<"$panel"
  site=$kit/$site_path
  read -ra argument_list <<<"$arguments"
  for file in "$kit/$program" "$site"; do
    [ -e "$file" ] || { echo "regression: $file is missing, nothing more was tested" >&2; exit 2; }
  done
  echo "== panel $name: $arguments"
  if ! report=$("$kit/$program" score "$site" "${argument_list[@]}" --why "$why" 2>&1); then
    failed+=("$name: the bench ended with an error")
  fi
  echo "$report"
  # A short day may score 0, no more than random choice: there the gate alone counts.
  zero_score='|score 0\.00'
  [ "$name" = brink ] && zero_score=
  if grep -qE "BROKEN|crash|GATE failed$zero_score" <<<"$report"; then
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
