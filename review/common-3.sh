# Functions of the scripts review/11 to review/15: a platform with workers, and instances of the scheduler, on
# free ports of the loopback interface, with their files in a temporary folder. Every process that was started
# is ended when the script exits. A script exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
trouble=${TROUBLE:-1}
scheduler=$root/target/camphorwell-scheduler
tools=$root/target/review-3
work_dir=$(mktemp -d)
platform_pid=
declare -A instance_pid
cd "$root" || exit 2

end_all() {
    local pid
    rm -f "$work_dir/keep_entries" # Ends the writer of case 15, which is waited for below.
    for pid in "${instance_pid[@]}" $platform_pid; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work_dir"
}
trap end_all EXIT

: >"$record"
now_ms() { date +%s%3N; }
began_ms=$(now_ms)
# note TEXT: adds a line with the time since the start to record.txt and to the output.
note() { echo "$(($(now_ms) - began_ms)) $*" | tee -a "$record"; }
cannot_run() { note "cannot run: $*"; exit 2; }

for program in "$scheduler" "$tools/review3-platform" "$tools/review3-call"; do
    [ -x "$program" ] || cannot_run "$program is not built"
done

in_use() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
# The first of 130 free ports. The platform has the first 99, instance I has 100 + I, 105 + I and 110 + I.
base=
for _ in $(seq 50); do
    candidate=$((20000 + RANDOM % 75 * 130))
    free=1
    for offset in $(seq 0 129); do
        if in_use $((candidate + offset)); then free=0; fi
    done
    if [ $free = 1 ]; then base=$candidate; break; fi
done
[ -n "$base" ] || cannot_run "no free ports"
callers_port() { echo $((base + 100 + $1)); }
readiness_port() { echo $((base + 105 + $1)); }

call() { "$tools/review3-call" "$@"; }
# logged_call ARGUMENTS: a call whose request and answer stand in record.txt.
logged_call() {
    local answer
    answer=$(call "$@")
    note "call $* -> $answer" >&2
    echo "$answer"
}

# start_platform WORKERS [MAX_HOLD_MS]
start_platform() {
    "$tools/review3-platform" --port "$base" --workers "$1" --max-hold-ms "${2:-6000}" >"$work_dir/platform.log" 2>&1 &
    platform_pid=$!
}

# start_instance I: the command of the deploy file, with settings as its template gives them.
start_instance() {
    cat >"$work_dir/$1.json" <<JSON
{ "instance": "front-north-$1", "dataCentre": "north", "address": "127.0.0.1",
  "callers": "127.0.0.1:$(callers_port "$1")", "readiness": "127.0.0.1:$(readiness_port "$1")",
  "internalPort": $((base + 110 + $1)), "processors": 0.25, "advice": "127.0.0.1:$base", "graceSeconds": 6,
  "keepSeconds": 120,
  "store": { "address": "127.0.0.1:$base", "partitions": 8, "callBytes": 2097152, "recordBytes": 262144 },
  "workers": { "maxLeaseMs": 6000, "stopMs": 200, "paceMs": 100, "remoteFactor": 1.5 } }
JSON
    CAMPHORWELL_CONFIG=$work_dir/$1.json "$scheduler" >>"$work_dir/$1.log" 2>&1 &
    instance_pid[$1]=$!
    note "instance $1 started, process ${instance_pid[$1]}"
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
    local until=$(($(now_ms) + $1 * 1000))
    shift
    while [ "$(now_ms)" -lt "$until" ]; do
        if "$@"; then return 0; fi
        sleep 0.1
    done
    return 1
}
is_ready() { [ "$(call GET "$(readiness_port "$1")" /readiness | cut -c1-3)" = 200 ]; }

# start_all WORKERS INSTANCES
start_all() {
    local i
    start_platform "$1"
    for i in $(seq "$2"); do start_instance "$i"; done
    for i in $(seq "$2"); do wait_for 20 is_ready "$i" || cannot_run "instance $i is not ready"; done
    # The leader has taken the workers.
    wait_for 20 workers_taken "$1" || cannot_run "the workers were not taken"
}
workers_taken() { [ "$(cat "$work_dir"/*.log | grep -c 'event=worker_taken')" -ge "$1" ]; }

# leader: the number of the instance that took the cell last.
leader() {
    grep -H 'event=cell_taken' "$work_dir"/[0-9].log | sed 's/.*\/\([0-9]\)\.log:t=\([0-9]*\).*/\2 \1/' | sort -n | tail -1 | cut -d' ' -f2
}

submit_until_accepted() { # I PATH BODY
    local answer
    answer=$(logged_call POST "$(callers_port "$1")" "$2" "$3")
    [ "${answer%% *}" = 200 ]
}
events() { call GET "$base" /events | sed '1s/^200 //'; }
# keep_events: copies what the workers ran to record.txt.
keep_events() { { echo "-- events of the workers (milliseconds of the platform's clock)"; events; } >>"$record"; }
state_of() { call GET "$(callers_port "$1")" "$2"; }
