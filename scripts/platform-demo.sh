#!/usr/bin/env bash
# Shows the path on the users' platform on this machine, against the stand-in:
# 2 entries, 3 agents beside model servers that start empty, one plain server,
# as separate processes on 127.0.0.x. Stops what it started, by pid.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
finish() {
  code=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ "$code" -eq 0 ] || { echo "platform demo: FAILED; last log lines:"; tail -n 5 "$work"/*.log || true; }
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say() { printf '\n== %s\n' "$*"; }
background() { name=$1; shift; "$@" >"$work/$name.log" 2>&1 & pids+=($!); }
await() { # await SECONDS COMMAND...
  local tries=$(( $1 * 20 )); shift
  for _ in $(seq "$tries"); do "$@" >/dev/null 2>&1 && return 0; sleep 0.05; done
  echo "platform demo: gave up waiting for: $*"; return 1
}

say "build"
go build -o "$work/bin/" ./cmd/filbertlever ./cmd/filbertlever-standin
fl=$work/bin/filbertlever

say "the platform: store, origin, 3 empty model servers, 1 plain server"
background platform "$work/bin/filbertlever-standin" users-platform --store 127.0.0.2:7600 --origin 127.0.0.2:7601 \
  --control 127.0.0.2:7602 --models 127.0.0.21:7610,127.0.0.22:7610,127.0.0.23:7610 --plain 127.0.0.31:7610

say "2 entries and 3 agents"
for n in 1 2; do
  ip=127.0.0.1$n
  cat >"$work/entry-$n.yaml" <<YAML
Host: entry-$n
Site: a
Region: ra
Regions: {a: ra}
Store: "127.0.0.2:7600"
Listen: {Callers: "$ip:7700", Ready: "$ip:7701", Locate: "$ip:7702", Peers: "$ip:7703", Datagrams: "$ip:7704", Metrics: "$ip:7705"}
Bounds: {Revoke: 5s, Version: 8s, RetryRatio: 0.2, RetrySlack: 100}
YAML
  "$fl" installation check "$work/entry-$n.yaml" --use Entry
  background "entry-$n" "$fl" installation entry --settings "$work/entry-$n.yaml"
done
for n in 1 2 3; do
  ip=127.0.0.2$n
  cat >"$work/agent-$n.yaml" <<YAML
Host: agent-$n
Site: a
Region: ra
Store: "127.0.0.2:7600"
Seeds: ["127.0.0.11:7703", "127.0.0.12:7703"]
ModelServer: {Address: "$ip:7610", Service: models}
Listen: {Datagrams: "$ip:7704", Metrics: "$ip:7705"}
Bounds: {Version: 8s}
YAML
  background "agent-$n" "$fl" installation agent --settings "$work/agent-$n.yaml"
done

ready() { curl -sf "http://127.0.0.11:7701/api/ready"; }
await 10 ready
caller() { # caller ID PATH [CURL ARGUMENTS]
  local id=$1 path=$2; shift 2
  curl -sS --max-time 6 -H 'Host: portal.example' -H "X-Attempt-Id: $id" -H "X-Credential: ${key:-key-of-hauler-1}" \
    -H 'X-Deadline-Ms: 5000' "$@" "http://127.0.0.11:7700$path"
}
draft() { caller "$1" /draft/ -d 'Draft a clause' -H 'X-Model: drafter' -H 'X-Token-Usage: 400,120'; }

say "weights reach the empty servers through the entries"
served() { draft "probe-$RANDOM" | grep -q 'token 19'; }
await 15 served
curl -s http://127.0.0.2:7601/api/manifest/drafter?version=1 | head -c 120; echo
draft d1 | tail -n 3

say "an order and a lookup"
caller o1 /order/ -d 'one skip'; echo
caller l1 /lookup/; echo

say "an unknown key"
key=wrong caller o2 /order/ -d 'one skip' -o /dev/null -w '%{http_code}\n'

say "a new version, in turns, while callers go on"
curl -sS -X POST 'http://127.0.0.2:7602/version?model=drafter&version=2'
newer() { draft "new-$RANDOM" -i | grep -q token; caller "v-$RANDOM" /draft/ -d x -H 'X-Model: drafter' -H 'X-Token-Usage: 10,120' -D - -o /dev/null | grep -qi 'x-weight-versions: 2'; }
await 12 newer
echo "answers come from version 2"

say "what an entry counted"
curl -s http://127.0.0.11:7705/metrics | grep -E '^filbertlever_(gateway_outcomes|relay_bytes)'
echo "platform demo: ok"
