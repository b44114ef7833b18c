#!/usr/bin/env bash
# The regression test: plays the bench's panels in turn, each by name. Fails where the kit is absent, where a
# panel does not end well, or where a day breaks a rule, crashes or scores nothing.
# Usage: ./regress.sh KIT [WHY]
set -euo pipefail
cd "$(dirname "$0")"
kit=${1:?usage: ./regress.sh KIT [WHY], KIT being the folder with sites/ and more/}
why=${2:-regression test, no change}
bench=$kit/more/bin/lbreal
site=$kit/sites/rendeles-kozpont.toml
for file in "$bench" "$site"; do
  [ -e "$file" ] || { echo "regression: $file is missing, nothing was tested" >&2; exit 2; }
done
failed=()
for panel in size later; do
  echo "== panel $panel"
  # The days at size are what the bench plays where no panel is named: it knows no name for them.
  if [ "$panel" = size ]; then flags=(); else flags=(--panel "$panel"); fi
  if ! report=$("$bench" score "$site" "${flags[@]}" --quick --why "$why" 2>&1); then
    failed+=("$panel: the bench ended with an error")
  fi
  echo "$report"
  if grep -qE 'RULE BROKEN|crash|score 0\.00$' <<<"$report"; then
    failed+=("$panel: a rule was broken, or a day counts for nothing")
  elif ! grep -q '^score of the real nodes' <<<"$report"; then
    failed+=("$panel: no score")
  fi
done
if [ ${#failed[@]} -gt 0 ]; then
  printf 'regression: FAILED: %s\n' "${failed[@]}" >&2
  exit 1
fi
echo "regression: all panels passed"
