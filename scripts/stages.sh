# Sourced by scripts without `set -e` that run several stages, each of which may end with a line "N passed, N failed".
# A stage that fails does not stop the later ones; finish_stages prints the sum and fails if anything did.

stages_passed=0
stages_failed=0
stages_logs=$(mktemp -d)
trap 'rm -rf "$stages_logs"' EXIT

# run_stage NAME COMMAND...
run_stage() {
  local name=$1 started=$SECONDS status line passed=0 failed=0
  shift
  echo "== $name"
  "$@" 2>&1 | tee "$stages_logs/log"
  status=${PIPESTATUS[0]}
  line=$(tail -n 1 "$stages_logs/log")
  if [[ $line =~ ^([0-9]+)\ passed,\ ([0-9]+)\ failed$ ]]; then
    passed=${BASH_REMATCH[1]}
    failed=${BASH_REMATCH[2]}
  fi
  # A stage that fails without reporting a failed test counts as one failure.
  if [ "$status" -ne 0 ] && [ "$failed" -eq 0 ]; then failed=1; fi
  stages_passed=$((stages_passed + passed))
  stages_failed=$((stages_failed + failed))
  echo "== $name: $passed passed, $failed failed, $((SECONDS - started)) s"
}

finish_stages() {
  echo "$stages_passed passed, $stages_failed failed"
  [ "$stages_failed" -eq 0 ]
}
