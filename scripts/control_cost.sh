#!/bin/sh
# Measures the control overhead per entry: starts stand-ins and ENTRIES entries
# without callers, and prints processor time, memory and loopback traffic.
#
# usage: scripts/control_cost.sh [ENTRIES] [SECONDS]
#
# The traffic is that of the whole loopback interface divided by the number of
# entries, so no other process may use the interface during the measurement. Each
# byte counts once, although a byte between two entries is sent by one of them
# and received by the other.
set -eu
cd "$(dirname "$0")/.."

entries=${1:-3}
seconds=${2:-30}
warm_up_s=15
deployment=examples/federation.yaml
work_dir=run/control-cost
platform_admin=21490
backend_admin=21491
first_caller=21500
first_control=21700
key=00112233445566778899aabbccddeeff
token=loopback-operator
mkdir -p "$work_dir"
pids=""
entry_pids=""

stop_all() {
    trap - EXIT INT TERM
    for pid in $entry_pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $entry_pids; do wait "$pid" 2>/dev/null || true; done
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

wait_for() {
    tries=0
    until curl --silent --fail --max-time 2 --output /dev/null "$1"; do
        tries=$((tries + 1))
        [ "$tries" -lt 200 ] || { echo "$1 is not ready" >&2; exit 1; }
        sleep 0.2
    done
}

zone_of() {
    case $(($1 % 3)) in
        0) echo taal ;;
        1) echo subic ;;
        2) echo manila-bay ;;
    esac
}

address() {
    echo "{host: 127.0.0.1, port: $1}"
}

write_settings() {
    index=$1
    cat <<TEXT
entry_id: entry-$index
region: luzon
availability_zone: $(zone_of "$index")
caller: $(address $((first_caller + index)))
control: $(address $((first_control + index)))
platform: $(address 21401)
peer_key: $key
operator_token: $token
drain_s: 1
TEXT
}

# Prints the processor time in clock ticks and the memory in kB of each entry.
sample() {
    for pid in $entry_pids; do
        ticks=$(awk '{print $14 + $15}' "/proc/$pid/stat")
        memory=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")
        echo "$pid $ticks $memory"
    done
}

loopback_bytes() {
    awk '$1 == "lo:" {print $2}' /proc/net/dev
}

baobabdoor-standin backend --deployment="$deployment" \
    --vm_base_port=21410 --admin_port=$backend_admin \
    2>"$work_dir/backend.log" &
pids="$pids $!"
baobabdoor-standin platform --deployment="$deployment" \
    --vm_base_port=21410 --admin_port=$platform_admin \
    --backend_admin="http://127.0.0.1:$backend_admin" \
    --port=21401 2>"$work_dir/platform.log" &
pids="$pids $!"
wait_for "http://127.0.0.1:$platform_admin/admin/state"

index=0
while [ "$index" -lt "$entries" ]; do
    write_settings "$index" >"$work_dir/entry-$index.yaml"
    baobabdoor-entry --config "$work_dir/entry-$index.yaml" \
        2>"$work_dir/entry-$index.log" &
    entry_pids="$entry_pids $!"
    index=$((index + 1))
done
wait_for "http://127.0.0.1:$first_caller/healthz"
export BAOBABDOOR_ENTRY="http://127.0.0.1:$first_control"
export BAOBABDOOR_TOKEN=$token
baobabdoor config apply "$deployment" >&2
baobabdoor preset switch peak >&2
sleep "$warm_up_s"

sample >"$work_dir/before"
before=$(loopback_bytes)
sleep "$seconds"
sample >"$work_dir/after"
after=$(loopback_bytes)

paste -d ' ' "$work_dir/before" "$work_dir/after" | awk \
    -v seconds="$seconds" -v hertz="$(getconf CLK_TCK)" \
    -v entries="$entries" -v bytes=$((after - before)) '
    {
        percent = 100 * ($5 - $2) / hertz / seconds
        total += percent
        if (percent > max_percent) max_percent = percent
        if ($6 > max_memory) max_memory = $6
    }
    END {
        printf "{\"entries\": %d, \"seconds\": %d", entries, seconds
        printf ", \"mean_processor_percent\": %.2f", total / NR
        printf ", \"most_processor_percent\": %.2f", max_percent
        printf ", \"most_memory_mb\": %.1f", max_memory / 1024
        printf ", \"kilobytes_per_second\": %.2f}\n", \
            bytes / 1000 / seconds / entries
    }'
