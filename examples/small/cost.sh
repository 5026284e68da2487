#!/usr/bin/env bash
# Measures CPU time and memory of each process at several request rates, and the
# latency that router and agent add to a direct request to the engine.
set -u
here=$(cd "$(dirname "$0")" && pwd)
binary=$(mktemp -d)/egretroute
(cd "$here/../.." && go build -o "$binary" ./cmd/egretroute) || exit 1
out=$(mktemp)
EGRETROUTE=$binary "$here/run.sh" >"$out" 2>&1 &
script=$!
trap 'kill -TERM $script; wait $script' EXIT
until grep -q ready "$out"; do sleep 0.1; done
run=$(head -1 "$out")
ticks=$(getconf CLK_TCK)

cpu() { awk '{print $14 + $15}' "/proc/$(cat "$run/$1.pid")/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$(cat "$run/$1.pid")/status"; }

echo "process rate requests cpu_ms_per_request rss_kB"
for rate in ${RATES:-0 25 50 100 200}; do
  for p in router-1 router-2 agent-engine-1 agent-desk-1; do eval "before_${p//-/_}=$(cpu $p)"; done
  seconds=10
  requests=$((rate * seconds))
  if [ "$rate" = 0 ]; then sleep $seconds; else
    "$binary" load -rate "$rate" -requests $requests -maxTokens 20 >/dev/null
  fi
  for p in router-1 router-2 agent-engine-1 agent-desk-1; do
    b=before_${p//-/_}
    awk -v p=$p -v r="$rate" -v n=$requests -v t=$(($(cpu $p) - ${!b})) -v k="$ticks" -v m="$(rss $p)" -v s=$seconds \
      'BEGIN { ms = t * 1000 / k; printf "%s %d %d %s %d\n", p, r, n, (n ? sprintf("%.3f", ms / (n / 2)) : sprintf("idle %.2f%% of a core", ms / s / 10)), m }'
  done
done
echo "== the engine called directly, 200/s"
"$binary" load -routers http://127.0.0.1:18301 -rate 200 -requests 2000 -maxTokens 20 -streamed 1 | grep -E "first|whole"
echo "== by router and agent, 200/s"
"$binary" load -routers http://127.0.0.1:18080 -rate 200 -requests 2000 -maxTokens 20 -streamed 1 | grep -E "outcome|first|whole"
