#!/usr/bin/env bash
# The regression test: runs the panels of the operators' bench one after the other. Fails if the kit is absent, a panel
# ends with an error, a gate fails, or a day breaks a rule, crashes or scores 0.
# Usage: ./regress.sh KIT [WHY]. Don't run it under nohup: all balancers would start with SIGHUP ignored.
set -euo pipefail
cd "$(dirname "$0")"
kit=${1:?usage: ./regress.sh KIT [WHY], KIT being the folder with sites/ and more/}
why=${2:-regression test, no change}
own_site=sites/rendeles-kozpont.toml
# The panels: name, program that runs the panel, site, and further arguments of that program. The seed of the short
# days is random, so that the balancer can't be tuned to one seed.
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
  # A short day may score 0, which is the score of random choice: for this panel only the gate counts.
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
