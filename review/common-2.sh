# Functions of the scripts the second review: a small deployment on one loopback address, in a temporary
# folder. Source it from a script that has changed to the repository's root. KEEP=FOLDER keeps the logs there.
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
trouble=${TROUBLE:-1}
tools=target/review-2
work_dir=$(mktemp -d)
declare -A pids
# An address of its own keeps the ports free of other runs.
ip=127.$((RANDOM % 200 + 10)).$((RANDOM % 250 + 2)).$((RANDOM % 250 + 2))
store=$ip:20000
advice= # HOST:PORT of the advice service.
instances=3
queue_host=jobs.example

stop_all() {
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    [ -n "${KEEP:-}" ] && cp -r "$work_dir" "$KEEP"
    rm -rf "$work_dir"
}
trap stop_all EXIT

now_ms() { date +%s%3N; }
began=$(now_ms)
note() { printf '%6d ms  %s\n' $(($(now_ms) - began)) "$*" | tee -a "$record"; }
cannot_run() {
    note "cannot run: $*"
    exit 2
}

# call METHOD ADDRESS PATH [BODY]: prints the status and the body of the answer.
call() {
    local body=$work_dir/body.$BASHPID
    if [ $# -gt 3 ]; then
        printf '%s' "$4" >"$body"
        "$tools/call" "$1" "$2" "$3" "$queue_host" 3000 "$body"
    else
        "$tools/call" "$1" "$2" "$3" "$queue_host" 3000
    fi
}
callers_of() { echo "$ip:$((21000 + $1))"; }
history() { call GET "$store" /history; }

# start_platform SETTINGS: starts the store and the workers.
start_platform() {
    printf '%s' "$1" >"$work_dir/platform.json"
    "$tools/platform" "$work_dir/platform.json" >"$work_dir/platform.log" 2>&1 &
    pids[platform]=$!
    for _ in $(seq 50); do
        grep -q listening "$work_dir/platform.log" && return
        sleep 0.1
    done
    cannot_run "the platform's stand-in: $(cat "$work_dir/platform.log")"
}

# start_instance NUMBER: starts an instance with the command of the deploy file.
start_instance() {
    local settings=$work_dir/instance-$1.json
    cat >"$settings" <<SETTINGS
{ "instance": "front-$1", "dataCentre": "north", "address": "$ip", "callers": "$(callers_of "$1")",
  "readiness": "$ip:$((22000 + $1))", "internalPort": $((23000 + $1)), "processors": 0.25, "advice": "$advice",
  "graceSeconds": 6, "keepSeconds": 120,
  "store": { "address": "$store", "partitions": 8, "callBytes": 2097152 },
  "workers": { "maxLeaseMs": 6000, "stopMs": 200, "paceMs": 100, "remoteFactor": 1.5 } }
SETTINGS
    CAMPHORWELL_CONFIG=$settings target/camphorwell-scheduler >>"$work_dir/instance-$1.log" 2>&1 &
    pids[instance-$1]=$!
}
kill_instance() {
    kill -KILL "${pids[instance-$1]}"
    wait "${pids[instance-$1]}" 2>/dev/null || true
}
ready() { [ "$(call GET "$ip:$((22000 + $1))" /readiness | cut -c1-3)" = 200 ]; }

# start_deployment SETTINGS: starts the platform and the instances and waits until they are ready and lead.
start_deployment() {
    [ -x target/camphorwell-scheduler ] && [ -x "$tools/platform" ] || cannot_run "build it first"
    : >"$record"
    note "TROUBLE=$trouble"
    start_platform "$1"
    for i in $(seq "$instances"); do start_instance "$i"; done
    for i in $(seq "$instances"); do
        for _ in $(seq 100); do
            ready "$i" && break
            sleep 0.1
        done
        ready "$i" || cannot_run "instance $i is not ready"
    done
    for _ in $(seq 100); do
        grep -hq event=cell_taken "$work_dir"/instance-*.log && return
        sleep 0.1
    done
    cannot_run "no instance leads the cell"
}

# submit NUMBER PATH BODY: hands a job in at an instance and notes the answer; fails unless it is accepted.
submit() {
    local answer
    answer=$(call POST "$(callers_of "$1")" "$2" "$3")
    note "POST $2 at front-$1: $answer"
    [ "${answer:0:3}" = 200 ]
}

# worker_list NUMBER CPU LABELS: the workers i-7f3a9001, i-7f3a9002, ...
worker_list() {
    local list=
    for i in $(seq -f %03g "$1"); do
        list+="{\"id\":\"i-7f3a9$i\",\"service\":\"recordar\",\"labels\":$3,\"Cpu\":$2,\"MemMb\":64000},"
    done
    echo "[${list%,}]"
}

# queue NAME [FIELDS]: a route of the configuration, with further fields.
queue() {
    echo "{${2:-}\"Name\":\"$1\",\"Host\":\"$queue_host\",\"PathPrefix\":\"/$1/\",\"Service\":\"recordar\",\"Priority\":0,\"MaxAttempts\":3,\"Stretch\":2.0,\"TargetLatencyMs\":1000}"
}
configuration() { # VERSION ROUTES
    echo "{\"Version\":$1,\"Routes\":[$2],\"Services\":[{\"Name\":\"recordar\",\"AdmissionCheck\":false}],\"Limits\":{\"MaxBodyBytes\":262144}}"
}
