#!/usr/bin/env bash
# Starts stand-ins and three entry boxes on loopback, creates services, sends
# real calls, shows what happened and ends all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }
start() { # LOG COMMAND...
	local log=$1
	shift
	"$@" >"$work/$log.out" 2>"$work/$log.log" &
	pids+=($!)
}
call() { "$work/bin/shedkeel-standin" call "$@"; }
shedkeel() { "$work/bin/shedkeel" --keeper 127.1.0.1:7400 --key demo-operator "$@"; }
retry() { # SECONDS COMMAND...
	local end=$((SECONDS + $1))
	shift
	until "$@" >"$work/retry.out" 2>&1; do
		if ((SECONDS > end)); then
			echo "gave up: $*" >&2
			tail -n 8 "$work/retry.out" "$work"/*.log >&2
			exit 1
		fi
		sleep 0.2
	done
}

say "building"
go build -o "$work/bin/" ./cmd/...

say "starting stand-ins: key-value service, box list, 12 engines, 2 plain servers"
start store "$work/bin/shedkeel-standin" store --listen 127.1.0.10:2379
engines=()
boxes=""
for zone in 1 2 3; do
	for box in 1 2 3 4; do
		engines+=("127.1.$zone.$box:9000")
		boxes+="{\"id\":\"box-$zone-$box\",\"address\":\"127.1.$zone.$box:9000\",\"zone\":\"zone-$zone\",\"domain\":\"rack-$zone\",\"accelerators\":1},"
	done
done
printf '[%s]' "${boxes%,}" >"$work/boxes.json"
start boxes "$work/bin/shedkeel-standin" boxes --listen 127.1.0.11:8500 "$work/boxes.json"
start engines "$work/bin/shedkeel-standin" engine "${engines[@]}"
start plain1 "$work/bin/shedkeel-standin" plain --listen 127.1.0.21:9100
start plain2 "$work/bin/shedkeel-standin" plain --listen 127.1.0.22:9100

say "starting three entry boxes, each an entry and a keeper"
for node in 1 2 3; do
	cat >"$work/node-$node.toml" <<TOML
node = "node-$node"
zone = "zone-$node"
[entry]
listen = "127.1.0.$node:8080"
admin = "127.1.0.$node:8081"
[keeper]
operator = "127.1.0.$node:7400"
operator_key = "demo-operator"
peers = ["127.1.0.1:7401", "127.1.0.2:7401", "127.1.0.3:7401"]
[wire]
listen = "127.1.0.$node:7401"
key = "demo-wire"
[platform]
store = "127.1.0.10:2379"
box_list = "127.1.0.11:8500"
TOML
	start "keeper-$node" "$work/bin/shedkeel-keeper" --settings "$work/node-$node.toml"
	start "entry-$node" "$work/bin/shedkeel-entry" --settings "$work/node-$node.toml"
done

say "an operator creates a model service, a plain service, two accounts and a policy"
cp policies/*.star "$work/"
cat >"$work/fleet.toml" <<TOML
entry_boxes = 3
[policy]
file = "karadere.star"
[[service]]
id = "text-model"
kind = "model"
groups = 3
members = 3
zones = ["zone-1", "zone-2", "zone-3"]
capacity = 64
timeout = "20s"
[[service]]
id = "permits"
kind = "plain"
capacity = 64
timeout = "5s"
once_paths = ["/fees"]
backends = [
  { id = "permits-1", address = "127.1.0.21:9100", zone = "zone-1" },
  { id = "permits-2", address = "127.1.0.22:9100", zone = "zone-2" },
]
[[account]]
id = "village-clerk"
key_sha256 = "$(shedkeel account hash clerk-key)"
[[account]]
id = "cooperative"
key_sha256 = "$(shedkeel account hash cooperative-key)"
rate = 100.0
TOML
retry 20 shedkeel apply "$work/fleet.toml"
cat "$work/retry.out"

say "waiting until all groups are whole"
whole() { shedkeel status | grep -q 'groups: 3 whole'; }
retry 60 whole
shedkeel status

clerk=(-H 'Authorization: Bearer clerk-key')
ready() { call "${clerk[@]}" GET "http://127.1.0.$1:8080/v1/models" | grep -q text-model; }
for node in 1 2 3; do retry 20 ready "$node"; done

say "which entry boxes may a caller in zone-2 use?"
call GET 'http://127.1.0.1:8080/v1/entries?zone=zone-2'

say "a model call, whole"
served() { call "${clerk[@]}" POST "http://127.1.0.$1:8080/v1/completions" '{"model":"text-model","prompt":"trout-season"}' >"$work/model.out" && grep -q '^200 answered' "$work/model.out"; }
# An entry learns with its next sync that groups are whole, up to 220 ms after a
# keeper shows it. Until then it answers 503, to come back.
for node in 1 2 3; do retry 20 served "$node"; done
cat "$work/model.out"

say "a chat call, streamed"
call "${clerk[@]}" POST http://127.1.0.2:8080/v1/chat/completions '{"model":"text-model","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"boar-season"}]}' | tee "$work/stream.out"
grep -q 'data: \[DONE\]' "$work/stream.out"

say "a plain call"
call "${clerk[@]}" GET http://127.1.0.3:8080/services/permits/status/17

say "a fee charge that must not be repeated, sent through two entry boxes"
call "${clerk[@]}" -H 'Idempotency-Key: fee-17' POST http://127.1.0.1:8080/services/permits/fees fee-17 | tee "$work/fee1.out"
call "${clerk[@]}" -H 'Idempotency-Key: fee-17' POST http://127.1.0.2:8080/services/permits/fees fee-17 | tee "$work/fee2.out"
diff "$work/fee1.out" "$work/fee2.out"
runs=0
for server in 21 22; do
	count=$(call GET "http://127.1.0.$server:9100/runs" | sed -n 's/.*"fee-17":\([0-9]*\).*/\1/p')
	runs=$((runs + ${count:-0}))
done
echo "the charge ran $runs time(s)"
test "$runs" = 1

say "state of the entry on node-1"
"$work/bin/shedkeel" --keeper 127.1.0.1:8081 --key demo-operator dump

say "done; ending all processes"
