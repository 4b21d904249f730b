#!/bin/sh
# Starts all services on loopback: stand-ins for the platform and for the backend
# servers, and one entry in each zone of examples/federation.yaml. Serves until
# interrupted; with --once, stops after one request.
set -eu
cd "$(dirname "$0")/.."

once=no
case "${1:-}" in
    "") ;;
    --once) once=yes ;;
    *) echo "usage: scripts/run.sh [--once]" >&2; exit 2 ;;
esac
command -v curl >/dev/null || { echo "run.sh: curl is needed" >&2; exit 2; }

deployment=examples/federation.yaml
zones="taal subic manila-bay"
callers="http://127.0.0.1:21021 http://127.0.0.1:21022 http://127.0.0.1:21023"
caller=http://127.0.0.1:21021
platform_admin=http://127.0.0.1:21190
backend_admin=http://127.0.0.1:21191
BAOBABDOOR_ENTRY=http://127.0.0.1:21031,http://127.0.0.1:21032,http://127.0.0.1:21033
BAOBABDOOR_TOKEN=loopback-operator
export BAOBABDOOR_ENTRY BAOBABDOOR_TOKEN

logs=run
mkdir -p "$logs"
entries=""
standins=""

stop_processes() {
    for pid in $1; do kill "$pid" 2>/dev/null || true; done
    for pid in $1; do wait "$pid" 2>/dev/null || true; done
}

# Stops the entries first, because they complete requests in progress.
stop_all() {
    trap - EXIT INT TERM
    stop_processes "$entries"
    stop_processes "$standins"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
    echo "run.sh: $1; see the logs in $logs/" >&2
    exit 1
}

# If a port is in use, its process exits and another process may answer there.
check_running() {
    for pid in $standins $entries; do
        kill -0 "$pid" 2>/dev/null || fail "a process has ended"
    done
}

# Polls a URL until it answers with a status below 400.
wait_for() {
    tries=0
    until curl --silent --fail --max-time 2 --output /dev/null "$1"; do
        tries=$((tries + 1))
        [ "$tries" -lt 150 ] || fail "$1 did not become ready"
        sleep 0.2
    done
}

baobabdoor-standin backend --deployment="$deployment" \
    --vm_base_port=21100 --admin_port=21191 2>"$logs/backend.log" &
standins="$standins $!"
baobabdoor-standin platform --deployment="$deployment" \
    --vm_base_port=21100 --admin_port=21190 --backend_admin="$backend_admin" \
    --port=21001 --port=21002 --port=21003 --reboot_s=5 \
    --entry_vms=entry-taal=taal,entry-subic=subic,entry-manila-bay=manila-bay \
    2>"$logs/platform.log" &
standins="$standins $!"
wait_for "$backend_admin/admin/load"
wait_for "$platform_admin/admin/state"
check_running

for zone in $zones; do
    baobabdoor-entry --config "examples/run/entry-$zone.yaml" \
        2>"$logs/entry-$zone.log" &
    entries="$entries $!"
done
for url in $callers; do wait_for "$url/healthz"; done
check_running

baobabdoor config apply "$deployment" || fail "the configuration was refused"
for url in $callers; do wait_for "$url/readyz"; done

# Requests can be forwarded only after the controller has written the VM rows.
tries=0
until answer=$(curl --silent --fail --max-time 10 "$caller/hello" \
    -H 'Baobabdoor-Pool: results-desk' -H 'Baobabdoor-Caller: sailors' \
    -H 'X-Request-Id: first'); do
    tries=$((tries + 1))
    [ "$tries" -lt 60 ] || fail "no answer to a request"
    sleep 0.5
done
echo "answer: $answer"
[ "$once" = no ] || exit 0

cat <<TEXT

Entries:  $callers
Logs:     $logs/

A request:
  curl $caller/hello -H 'Baobabdoor-Pool: results-desk' -H 'Baobabdoor-Caller: sailors'
Operators:
  export BAOBABDOOR_ENTRY=$BAOBABDOOR_ENTRY
  export BAOBABDOOR_TOKEN=$BAOBABDOOR_TOKEN
  baobabdoor status
  baobabdoor vm list
  baobabdoor preset switch peak
Faults:
  curl $platform_admin/admin/faults -d '{"down": true}'
  curl $platform_admin/admin/vms/terminate -d '{"vm_id": "taal-vm-001"}'
  curl $backend_admin/admin/faults -d '{"vm": "*", "kind": "late", "delay_s": 1}'

Interrupt to stop.
TEXT
wait
