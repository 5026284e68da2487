#!/usr/bin/env bash
# Starts every process of the small example on fixed loopback ports, prints
# "ready" when all serve, and stops them on SIGTERM or SIGINT. The first line of
# output is the folder with each process's PID as NAME.pid and log as NAME.log.
set -u
here=$(cd "$(dirname "$0")" && pwd)
run=$(mktemp -d "${TMPDIR:-/tmp}/egretroute-small.XXXXXX")
echo "$run"

binary=${EGRETROUTE:-$run/egretroute}
if [ ! -x "$binary" ]; then
  (cd "$here/../.." && go build -o "$binary" ./cmd/egretroute) || exit 1
fi

start() { # name, arguments
  local name=$1
  shift
  "$binary" "$@" >"$run/$name.log" 2>&1 &
  echo $! >"$run/$name.pid"
}

stop() {
  trap - TERM INT EXIT
  local f
  for f in "$run"/router-*.pid; do kill -TERM "$(cat "$f")" 2>/dev/null; done
  for f in "$run"/router-*.pid; do wait "$(cat "$f")" 2>/dev/null; done
  for f in "$run"/agent-*.pid; do kill -TERM "$(cat "$f")" 2>/dev/null; done
  for f in "$run"/agent-*.pid; do wait "$(cat "$f")" 2>/dev/null; done
  for f in "$run"/*.pid; do kill -TERM "$(cat "$f")" 2>/dev/null; done
  wait
  exit 0
}
trap stop TERM INT EXIT

start platform standin -listen 127.0.0.1:18100 platform
start engine-1 standin -listen 127.0.0.1:18301 engine
start engine-2 standin -listen 127.0.0.1:18302 engine
start desk-1 standin -listen 127.0.0.1:18303 service
for agent in engine-1 engine-2 desk-1; do
  start "agent-$agent" agent -settings "$here/agent-$agent.toml"
done
for router in 1 2; do
  start "router-$router" router -settings "$here/router-$router.toml"
done

export EGRETROUTE_KEY=operator-key
for _ in $(seq 100); do
  "$binary" ctl apply -f "$here/fleet.toml" >"$run/apply.log" 2>&1 && break
  sleep 0.1
done

# whole checks that a router is linked to all targets, knows the owners of all
# slots and holds tokens of both budgets.
whole() {
  "$binary" ctl -router "http://127.0.0.1:$1" health 2>/dev/null | grep -q '"linkedTargets":3,"ownedSlots":16,"heldBudgets":2'
}
ready=
for _ in $(seq 200); do
  if whole 18081 && whole 18091; then
    ready=yes
    echo ready
    break
  fi
  sleep 0.1
done
if [ -z "$ready" ]; then
  echo "not ready after 20 s; see the logs in $run" >&2
  exit 1
fi

# The other processes go on if one ends for any reason.
while :; do
  sleep 1 &
  wait $!
done
