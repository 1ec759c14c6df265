#!/usr/bin/env bash
# Installs what is missing, builds, starts a cell of three daemons with its
# stand-ins on loopback, runs one job of each class to its end and one request,
# prints what happened as a table and stops everything. Exits 0 if each step
# went as expected. `--no-build` takes the programs as they are in build/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
programs=(rosemarytraild rosemarytrail rosemarytrail-standin-log
    rosemarytrail-standin-vm-list rosemarytrail-standin-worker)
if [ "${1:-}" != --no-build ]; then
    scripts/install.sh
    cmake --preset default >/dev/null
    cmake --build --preset default --target "${programs[@]}" -- -j "${JOBS:-$(nproc)}"
fi

bin=build/bin
log_port=27001
vm_list_port=27002
api_ports=(27011 27012 27013)
peer_ports=(27021 27022 27023)
worker_ports=(27031 27032 27033 27034 27035 27036)
service_ports=(27041 27042 27043 27044 27045 27046)
zones=(zone-1 zone-2 zone-3)
entries=()
for port in "${api_ports[@]}"; do entries+=("127.0.0.1:$port"); done
all_entries=$(IFS=,; echo "${entries[*]}")

dir=$(mktemp -d)
pids=()
rows=()
failed=0
out=

cleanup() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap cleanup EXIT

# record NAME RESULT DETAIL
record() {
    rows+=("$(printf '%-46s %-6s %s' "$1" "$2" "$3")")
    printf '%-46s %-6s %s\n' "$1" "$2" "$3"
    [ "$2" = ok ] || failed=1
}

# step NAME EXIT COMMAND...: runs a command and checks its exit code.
step() {
    local name=$1 expected=$2 status=0 start end
    shift 2
    start=$(date +%s%3N)
    out=$("$@" 2>&1) || status=$?
    end=$(date +%s%3N)
    if [ "$status" -eq "$expected" ]; then
        record "$name" ok "exit $status, $((end - start)) ms"
    else
        record "$name" FAILED "exit $status, expected $expected: $out"
    fi
}

# expect NAME TEXT: checks that the output of the last step contains a text.
expect() {
    case $out in
    *"$2"*) record "$1" ok "$2" ;;
    *) record "$1" FAILED "expected \"$2\" in: $out" ;;
    esac
}

# within SECONDS COMMAND...: repeats a command until it ends with 0.
within() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$deadline" ] || return 1
        sleep 0.1
    done
}

field() { python3 -c 'import json, sys; print(json.load(sys.stdin)[sys.argv[1]])' "$1" <<<"$out" 2>/dev/null || echo unknown; }
cli() { "$bin/rosemarytrail" "$@"; }
is_live() { curl -sf -o "$dir/live" "http://127.0.0.1:$1/live"; }
is_ready() { curl -sf -o "$dir/ready" "http://127.0.0.1:$1/ready"; }
all_live() { for port in "$@"; do within 20 is_live "$port" || return 1; done; }
all_ready() { for port in "${api_ports[@]}"; do within 60 is_ready "$port" || return 1; done; }
is_gone() { ! kill -0 "$1" 2>/dev/null; }

# in_force KEY: the key is known at each entry VM.
in_force() {
    local entry
    for entry in "${entries[@]}"; do
        ROSEMARYTRAIL_KEY=$1 cli list --entry "$entry" >/dev/null 2>&1 || return 1
    done
}

# refused KEY: the key is refused at each entry VM.
refused() {
    local entry status
    for entry in "${entries[@]}"; do
        status=0
        ROSEMARYTRAIL_KEY=$1 cli list --entry "$entry" >/dev/null 2>&1 || status=$?
        [ "$status" -eq 1 ] || return 1
    done
}

# taken_over ENTRY: no partition is held by that entry VM, and all are settled.
taken_over() {
    cli members --entry "${entries[1]}" --json | python3 -c '
import json, sys
cell = json.load(sys.stdin)
left = {it["member"] for it in cell["members"]
        if it["api_address"] != sys.argv[1]}
sys.exit(not all(it["holder"] in left and it["settled"]
                 for it in cell["partitions"]))' "$1"
}

# start NAME COMMAND...: starts a process in the background.
start() {
    local name=$1
    shift
    "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
    pids+=("$!")
    started=$!
}

write_settings() {
    local n=$1
    cat >"$dir/daemon-$n.json" <<END
{"address": "127.0.0.1", "api_port": ${api_ports[n]},
 "peer_port": ${peer_ports[n]}, "availability_zone": "${zones[n]}",
 "log_url": "http://127.0.0.1:$log_port",
 "vm_list_url": "http://127.0.0.1:$vm_list_port",
 "operator_key_salt": "$salt", "operator_key_hash": "$hash",
 "partitions": 4}
END
}

write_documents() {
    local team
    for team in kjolnett kaalukast; do
        cat >"$dir/team-$team.json" <<END
{"kind": "team", "team": "$team", "weight": 1.0, "limit":
 {"millicores": 64000, "memory_mib": 131072, "accelerators": 0}}
END
    done
    cat >"$dir/plugs.json" <<'END'
{"kind": "job", "name": "plug-planning", "team": "kjolnett",
 "class": "service", "service": "plugs", "tasks": 3,
 "request": {"millicores": 1000, "memory_mib": 512, "accelerators": 0}}
END
    cat >"$dir/herd.json" <<'END'
{"kind": "job", "name": "herd-reconciliation", "team": "kaalukast",
 "class": "batch", "tasks": 4, "run_time_ms": 500,
 "request": {"millicores": 1000, "memory_mib": 512, "accelerators": 0}}
END
    cat >"$dir/weights.json" <<'END'
{"kind": "job", "name": "weights-model", "team": "kaalukast",
 "class": "gang", "tasks": 3, "run_time_ms": 500,
 "request": {"millicores": 2000, "memory_mib": 1024, "accelerators": 0}}
END
    cat >"$dir/too-large.json" <<'END'
{"kind": "job", "name": "too-large", "team": "kaalukast",
 "class": "batch", "tasks": 1, "run_time_ms": 500,
 "request": {"millicores": 65000, "memory_mib": 512, "accelerators": 0}}
END
}

for port in "$log_port" "$vm_list_port" "${api_ports[@]}" "${peer_ports[@]}" \
    "${worker_ports[@]}" "${service_ports[@]}"; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
        echo "demo: port $port is in use" >&2
        exit 1
    fi
done

# Settings
step "make an operator key" 0 cli operator-key --json
salt=$(field operator_key_salt)
hash=$(field operator_key_hash)
ROSEMARYTRAIL_OPERATOR_KEY=$(field operator_key)
export ROSEMARYTRAIL_OPERATOR_KEY
for n in 0 1 2; do write_settings "$n"; done
write_documents
sed 's/"partitions": 4/"partitions": 4000/' "$dir/daemon-0.json" >"$dir/bad.json"
step "daemon refuses a setting out of range" 2 "$bin/rosemarytraild" --settings "$dir/bad.json"
expect "  its line" "field partitions is 4000; allowed: whole number from 1 to 256"
step "daemon checks good settings" 0 "$bin/rosemarytraild" --settings "$dir/daemon-0.json" --check_settings
step "command line checks a job" 0 cli check "$dir/plugs.json"

# Cell
start log "$bin/rosemarytrail-standin-log" --port="$log_port"
start vm-list "$bin/rosemarytrail-standin-vm-list" --port="$vm_list_port"
step "stand-ins of log and VM list live" 0 all_live "$log_port" "$vm_list_port"
for n in 0 1 2 3 4 5; do
    start "worker-$n" "$bin/rosemarytrail-standin-worker" --vm="vm-$n" \
        --port="${worker_ports[n]}" --service_port="${service_ports[n]}" \
        --rack="rack-$((n / 2))" --zone="${zones[n / 2]}" \
        --millicores=16000 --memory_mib=65536 \
        --vm_list_url="http://127.0.0.1:$vm_list_port"
done
step "stand-ins of six workers live" 0 all_live "${worker_ports[@]}"
daemon_pids=()
for n in 0 1 2; do
    start "daemon-$n" "$bin/rosemarytraild" --settings "$dir/daemon-$n.json"
    daemon_pids+=("$started")
done
step "three daemons are ready" 0 all_ready

# Configuration
step "publish team kjolnett at entry 1" 0 cli publish "$dir/team-kjolnett.json" --entry "${entries[0]}"
step "publish team kaalukast at entry 2" 0 cli publish "$dir/team-kaalukast.json" --entry "${entries[1]}"
step "give a key to kjolnett" 0 cli key give crane-1 --team kjolnett --account quay --entry "${entries[0]}" --json
crane=$(field key)
step "give a key to kaalukast" 0 cli key give herd-1 --team kaalukast --account market --entry "${entries[2]}" --json
herd=$(field key)
step "first key in force everywhere" 0 within 10 in_force "$crane"
step "second key in force everywhere" 0 within 10 in_force "$herd"

# Jobs
export ROSEMARYTRAIL_KEY=$crane
step "submit a service at entry 1" 0 cli submit "$dir/plugs.json" --entry "${entries[0]}" --json
plugs=$(field job)
plugs_offset=$(field offset)
step "  its status at entry 2, own write seen" 0 cli status "$plugs" --entry "${entries[1]}" --read_offset "$plugs_offset"
export ROSEMARYTRAIL_KEY=$herd
step "submit a batch run at entry 2" 0 cli submit "$dir/herd.json" --entry "${entries[1]}" --json
batch=$(field job)
step "submit an all-at-once job at entry 3" 0 cli submit "$dir/weights.json" --entry "${entries[2]}" --json
gang=$(field job)
step "refuse a job that can never run" 1 cli submit "$dir/too-large.json" --entry "${entries[0]}"
step "batch run ends, seen at entry 3" 0 cli status "$batch" --entry "${entries[2]}" --wait over --timeout 60s
step "all-at-once job ends, seen at entry 1" 0 cli status "$gang" --entry "${entries[0]}" --wait over --timeout 60s
export ROSEMARYTRAIL_KEY=$crane
step "service runs, seen at entry 3" 0 cli status "$plugs" --entry "${entries[2]}" --wait running --timeout 60s
step "explain the service" 0 cli explain "$plugs" --entry "${entries[1]}"

# Requests
answers() { out=$(cli request plugs /quay/7 --entry "${entries[1]}" --json); grep -q '"service":"plugs"' <<<"$out" && echo "$out"; }
step "request to the service by entry 2" 0 within 10 answers
expect "  its answer is whole" '"path":"quay/7"'
step "booking that runs at most once, by entry 3" 0 cli request plugs /book --method POST \
    --idempotency_key box-881 --data '{"box":881}' --entry "${entries[2]}" --json
expect "  it ran once" '"run":1'

# Operators
step "members" 0 cli members --entry "${entries[0]}"
members=$out
step "counters" 0 cli counters --entry "${entries[0]}" --filter refusals
step "withdraw the second key at entry 1" 0 cli key withdraw herd-1 --entry "${entries[0]}"
step "withdrawn key refused everywhere" 0 within 5 refused "$herd"

# Faults
kill -KILL "${daemon_pids[0]}"
wait "${daemon_pids[0]}" 2>/dev/null || true
step "killed daemon is told as unreachable" 3 cli list --entry "${entries[0]}"
step "next entry VM is tried" 0 cli list --entry "$all_entries"
step "service still answers by entry 3" 0 cli request plugs /quay/8 --entry "${entries[2]}" --json
step "its partitions are taken over" 0 within 60 taken_over "${entries[0]}"
step "service runs on, seen at entry 2" 0 cli status "$plugs" --entry "${entries[1]}" --wait running --timeout 60s

# Shutdown
step "cancel the service" 0 cli cancel "$plugs" --entry "${entries[1]}"
expect "  in effect and recorded" "in effect: yes, recorded: yes"
for n in 1 2; do kill -TERM "${daemon_pids[n]}"; done
for n in 1 2; do
    step "daemon $((n + 1)) ends on SIGTERM" 0 within 25 is_gone "${daemon_pids[n]}"
    is_gone "${daemon_pids[n]}" || continue
    status=0
    wait "${daemon_pids[n]}" || status=$?
    record "  its exit code" "$([ "$status" -eq 0 ] && echo ok || echo FAILED)" "exit $status"
done

printf '\n%s\n' "$members"
printf '\n%-46s %-6s %s\n' STEP RESULT DETAIL
printf '%s\n' "${rows[@]}"
if [ "$failed" -ne 0 ]; then
    for n in 0 1 2; do
        printf '\nlast lines of daemon %s:\n' "$((n + 1))"
        tail -n 20 "$dir/daemon-$n.err"
    done
    echo "demo: FAILED"
    exit 1
fi
echo "demo: all ${#rows[@]} steps went as expected"
