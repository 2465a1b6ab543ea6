#!/usr/bin/env bash
# Shows the whole path on this machine: stand-ins, 2 entries, 3 agents with
# model engines and one with a plain service, as separate processes on
# 127.0.0.x. Stops everything that it started, by pid, however it ends.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()
finish() {
  code=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    for _ in $(seq 50); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -9 "$pid" 2>/dev/null || true
  done
  [ "$code" -eq 0 ] || { echo "demo: FAILED; last log lines:"; tail -n 5 "$work"/*.log || true; }
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say() { printf '\n== %s\n' "$*"; }
background() { name=$1; shift; "$@" >"$work/$name.log" 2>&1 & pids+=($!); eval "pid_${name//-/_}=$!"; }
await() { # await SECONDS COMMAND...
  local tries=$(( $1 * 20 )); shift
  for _ in $(seq "$tries"); do "$@" >/dev/null 2>&1 && return 0; sleep 0.05; done
  echo "demo: gave up waiting for: $*"; return 1
}

say "build"
go build -o "$work/bin/" ./cmd/filbertlever ./cmd/filbertlever-standin
fl=$work/bin/filbertlever
standin=$work/bin/filbertlever-standin
keys=$work/keys

say "keys, settings and weights"
$fl keys new ana --dir "$keys" --role Operator >"$work/operator.out"
public=$(awk '/^PublicKey:/ {print $2}' "$work/operator.out")
$fl keys token >"$work/token.out"
FILBERTLEVER_TOKEN=$(awk '/^Token:/ {print $2}' "$work/token.out"); export FILBERTLEVER_TOKEN
token_digest=$(awk '/^Digest:/ {print $2}' "$work/token.out")
size=$((8 * 1024 * 1024))
head -c $size /dev/urandom >"$work/drafter.bin"

common() { # common HOST IP
  cat <<YAML
Host: $1
Site: $3
Region: region-$3
Peer: {Address: "$2:7400"}
Admin: {Address: "$2:7490"}
TLS: {Authority: $keys/authority.pem, Certificate: $keys/$1.pem, Key: $keys/$1.key}
Platform: {URL: "http://127.0.0.2:7300"}
Operators: [{Name: ana, PublicKey: "$public"}]
Seeds:
  - {Host: entry-1, PeerAddress: "127.0.0.11:7400"}
  - {Host: entry-2, PeerAddress: "127.0.0.12:7400"}
YAML
}
hosts='['
for i in 1 2; do
  ip=127.0.0.1$i
  $fl keys new entry-$i --dir "$keys" --role Entry --ip $ip >/dev/null
  { common entry-$i $ip site-$i; echo "Callers: {Address: \"$ip:7443\"}"; } >"$work/entry-$i.yaml"
  hosts+="{\"ID\":\"entry-$i\",\"Role\":\"Entry\",\"Site\":\"site-$i\",\"Region\":\"region-site-$i\",\"PeerAddress\":\"$ip:7400\",\"CallerAddress\":\"$ip:7443\"},"
done
for i in 1 2 3 4; do
  ip=127.0.0.2$i name=model-$i pool=model-servers
  [ $i -lt 4 ] || { name=billing-1; pool=billing; }
  $fl keys new $name --dir "$keys" --role Agent >/dev/null
  { common $name $ip site-$(( (i + 1) % 2 + 1 ))
    if [ $i -lt 4 ]; then
      echo "Agent: {Pool: $pool, Engine: \"http://$ip:7500\", Weights: {Address: \"$ip:7410\"}, Origin: \"http://127.0.0.2:7300/origin\", Store: \"http://127.0.0.2:7300/store\"}"
    else
      echo "Agent: {Pool: $pool, Service: \"http://$ip:7500\"}"
    fi
  } >"$work/$name.yaml"
  hosts+="{\"ID\":\"$name\",\"Role\":\"Agent\",\"Site\":\"site-$(( (i + 1) % 2 + 1 ))\",\"Region\":\"region-site-$(( (i + 1) % 2 + 1 ))\",\"PeerAddress\":\"$ip:7400\",\"Pool\":\"$pool\"},"
done
hosts="${hosts%,}]"
cat >"$work/operator.yaml" <<YAML
TLS: {Authority: $keys/authority.pem, Certificate: $keys/ana.pem, Key: $keys/ana.key}
Platform: {URL: "http://127.0.0.2:7300"}
Operators: [{Name: ana, PublicKey: "$public"}]
Seeds:
  - {Host: entry-1, PeerAddress: "127.0.0.11:7400"}
  - {Host: entry-2, PeerAddress: "127.0.0.12:7400"}
YAML
export FILBERTLEVER_SETTINGS=$work/operator.yaml
export FILBERTLEVER_AUTHORITY=$keys/authority.pem
export FILBERTLEVER_ENTRIES=127.0.0.11:7443,127.0.0.12:7443

say "stand-ins: platform, 3 model engines, 1 plain service"
background platform $standin platform --listen 127.0.0.2:7300 --admin 127.0.0.2:7390 --weights "drafter=$work/drafter.bin"
for i in 1 2 3; do
  background engine-$i $standin engine --listen 127.0.0.2$i:7500 --admin 127.0.0.2$i:7590 --checks-fencing
done
background service $standin service --listen 127.0.0.24:7500 --admin 127.0.0.24:7590
await 10 curl -sf -X PUT -d "$hosts" http://127.0.0.2:7390/hosts

say "2 entries, 4 agents"
for i in 1 2; do background entry-$i $fl entry --settings "$work/entry-$i.yaml"; done
for name in model-1 model-2 model-3 billing-1; do background $name $fl agent --settings "$work/$name.yaml"; done

say "bundle new, check, sign, roll"
manifest=$($fl bundle manifest "$work/drafter.bin" --path drafter --chunk-size 256KiB)
cat >"$work/bundle.yaml" <<YAML
Format: 1
Version: 0
Parent: {Version: 0, Digest: ""}
SignOffs: 1
Favour: OriginBytes
Pools:
  - {Name: model-servers, Kind: ModelEngine, ChecksFencing: true, Concurrency: 8, Queue: 64}
  - {Name: billing, Kind: PlainService, Concurrency: 8, Queue: 64}
Models:
  - {Name: drafter, Version: "2026-12-01", Pool: model-servers, Manifest: "$manifest", Engine: {MaxBatch: 8}}
Services:
  - {Name: billing, Pool: billing, Calls: [{Name: OrderPickup}, {Name: Quote, Repeatable: true}]}
Organisations:
  - {Name: hauler-1, TokenDigests: ["$token_digest"], Weight: 1, MaxConcurrent: 64}
YAML
$fl bundle new "$work/bundle.yaml"
$fl bundle check "$work/bundle.yaml"
$fl bundle sign "$work/bundle.yaml" --operator ana --key "$keys/ana.signing.key"
$fl bundle roll "$work/bundle.yaml"
await 20 sh -c "[ \$(curl -s http://127.0.0.24:7490/readyz) = ready ]"
$fl bundle status --watch --timeout 30s
$fl hosts
replicas=$($fl bundle status -o json | grep -c '"Stage": "Live"')
drawn=$(curl -s http://127.0.0.2:7390/figures | sed 's/.*"OriginBytes":\([0-9]*\).*/\1/')
copies=$(awk "BEGIN {printf \"%.2f\", $drawn / $size}")

say "locate, ask, order"
$fl locate
asked=0 whole=0
ask() { $fl ask --model drafter --max-tokens "$1" --timeout 20s "Draft a clause on late pickups"; }
check() { asked=$((asked + 1)); if [ "$(wc -w <"$1")" -eq "$2" ]; then whole=$((whole + 1)); else echo "demo: answer is not whole:"; cat "$1"; fi; }
ask 24 | tee "$work/answer-1"; check "$work/answer-1" 24
ask 24 >"$work/answer-2"; check "$work/answer-2" 24
cmp "$work/answer-1" "$work/answer-2"
curl -s --cacert "$keys/authority.pem" -H "Authorization: Bearer $FILBERTLEVER_TOKEN" -H 'Content-Type: application/json' \
  -d '{"requestId":"r1","model":"drafter","prompt":"Draft a clause on late pickups","maxTokens":24}' \
  https://127.0.0.11:7443/filbertlever.v1.CallerService/Answer >"$work/answer-curl"
grep -q OUTCOME_ANSWERED "$work/answer-curl" && grep -qF "$(sed 's/ *$//' "$work/answer-1")" "$work/answer-curl"
echo "the same answer in plain JSON over HTTP with curl"
$fl order --service billing --call OrderPickup --key pickup-1 "skip 7 at gate 3"
$fl order --service billing --call OrderPickup --key pickup-1 "skip 7 at gate 3"
$fl lookup pickup-1
orders_run=$(curl -s http://127.0.0.24:7590/runs | sed 's/.*"hauler-1\/pickup-1":\([0-9]*\).*/\1/')

say "planned stop of a host with requests in flight"
flying=()
for i in 1 2 3 4 5 6; do ask 300 >"$work/flying-$i" 2>&1 & flying+=($!); done
sleep 0.7
$fl stop model-2
cut_off=0
for i in 1 2 3 4 5 6; do
  wait "${flying[$((i - 1))]}" || cut_off=$((cut_off + 1))
  check "$work/flying-$i" 300
done
await 15 sh -c "! kill -0 $pid_model_2 2>/dev/null"
$fl hosts
ask 24 >"$work/answer-3"; check "$work/answer-3" 24

say "done"
echo "demo: replicas=$replicas/3 origin_copies=$copies answers=$whole/$asked orders_run=$orders_run cut_off=$cut_off"
[ "$replicas" = 3 ] && [ "$whole" = "$asked" ] && [ "$orders_run" = 1 ] && [ "$cut_off" = 0 ]
