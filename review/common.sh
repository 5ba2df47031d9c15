# Functions for the scripts of the review: free ports, start and end of processes, HTTP calls by bash alone.
# A script sets `case_dir` and sources this file.
root=$(cd "$case_dir/../.." && pwd)
record=$case_dir/record.txt
work_dir=$(mktemp -d)
pids=()
instance_pids=()
trouble=${TROUBLE:-1}
: >"$record"

note() { echo "script $(date +%s.%N | cut -c1-14) $*" >>"$record"; }

# Ends the processes that this script started, by id.
end_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    if [ "${KEEP_LOGS:-0}" = 1 ]; then echo "logs in $work_dir"; else rm -rf "$work_dir"; fi
}
trap end_all EXIT

cannot_run() {
    note "cannot run: $*"
    exit 2
}

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# find_ports COUNT: sets base_port to the first of COUNT free ports.
find_ports() {
    local try offset
    for try in $(seq 50); do
        base_port=$((20000 + RANDOM % 10000))
        for offset in $(seq 0 "$(($1 - 1))"); do
            port_is_free $((base_port + offset)) || continue 2
        done
        return 0
    done
    cannot_run "no free ports"
}

# http METHOD PORT PATH [BODY]: sets http_status (000: no answer) and http_body.
http() {
    local method=$1 port=$2 path=$3 body=${4:-} line
    http_status=000
    http_body=
    exec 9<>"/dev/tcp/127.0.0.1/$port" || return 0
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nTime-Left-Ms: 3000\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
        "$method" "$path" "${http_host:-platform}" "${#body}" "$body" >&9 2>/dev/null
    if IFS=' ' read -r -t 5 -u 9 _ http_status _; then
        while IFS= read -r -t 5 -u 9 line && [ "$line" != $'\r' ]; do :; done
        http_body=$(timeout 5 cat <&9)
    else
        http_status=000
    fi
    exec 9>&-
} 2>/dev/null

# client METHOD INSTANCE PATH [BODY]: a client's call of an instance, recorded.
client() {
    http_host=nony24.example
    http "$1" $((front_port + $2)) "$3" "${4:-}"
    http_host=
    note "client $1 $3 at instance $2 ${4:+body $4 }-> $http_status $http_body"
}

# start_platform OPTION...: starts the stand-in of the platform on base_port.
start_platform() {
    "$root/review/bin/camphorwell-review-platform" --port "$base_port" --record "$record" "$@" \
        >"$work_dir/platform.log" 2>&1 &
    pids+=($!)
    local try
    for try in $(seq 50); do
        port_is_free "$base_port" || return 0
        sleep 0.1
    done
    cannot_run "the platform's stand-in does not start"
}

# operator CONFIG: the operator writes a configuration.
operator() {
    http POST "$base_port" /config "$1"
    [ "$http_status" = 200 ] || cannot_run "the operator's configuration"
    note "operator writes $1"
}

# start_instance NUMBER: starts an instance with the command of the deploy file and the settings of a small
# deployment, as deploy/settings.json.template gives them.
start_instance() {
    cat >"$work_dir/$1.json" <<JSON
{ "instance": "front-quito-norte-$1", "dataCentre": "quito-norte", "address": "127.0.0.1",
  "callers": "127.0.0.1:$((front_port + $1))", "readiness": "127.0.0.1:$((front_port + 10 + $1))",
  "internalPort": $((front_port + 20 + $1)), "processors": 0.1, "advice": "", "graceSeconds": 6,
  "keepSeconds": 120,
  "store": { "address": "127.0.0.1:$base_port", "partitions": 8, "callBytes": 2097152 },
  "workers": { "maxLeaseMs": 6000, "stopMs": 200, "paceMs": 100, "remoteFactor": 1.5 } }
JSON
    cd "$root" || exit 2
    CAMPHORWELL_CONFIG=$work_dir/$1.json target/camphorwell-scheduler >>"$work_dir/$1.log" 2>&1 &
    instance_pids[$1]=$!
    pids+=($!)
    note "instance $1 started"
}

# restart_gracefully NUMBER: a planned restart of an instance, SIGTERM first.
restart_gracefully() {
    kill -TERM "${instance_pids[$1]}"
    note "instance $1 gets SIGTERM"
    wait "${instance_pids[$1]}" 2>/dev/null
    note "instance $1 has stopped"
    start_instance "$1"
    wait_ready "$1"
}

# wait_ready NUMBER...
wait_ready() {
    local number try
    for number in "$@"; do
        for try in $(seq 100); do
            http GET $((front_port + 10 + number)) /readiness
            [ "$http_status" = 200 ] && continue 2
            sleep 0.1
        done
        cannot_run "instance $number is not ready"
    done
}

# submit INSTANCE PATH BODY: hands a job in until it is accepted, as clients do. The workers learn its steps.
submit() {
    local try
    http POST "$base_port" "/jobs/${2##*/}" "$3"
    for try in $(seq 20); do
        client POST "$1" "$2" "$3"
        [ "$http_status" = 200 ] && return 0
        sleep 0.3
    done
    cannot_run "the job $2 was not accepted"
}

# count_record PATTERN: number of lines of the record that match.
count_record() { grep -acE "$1" "$record"; }

# job_lost ID COUNT: the rule LOST at the end of a script: fewer than COUNT tasks of the job have ended done, and for
# 3 s nothing of it has been running. A job of which something runs, or ran in the last 3 s, is not lost.
job_lost() {
    local now
    http POST "$base_port" /mark '{}'
    now=$(grep -a ' mark$' "$record" | tail -1 | cut -d' ' -f1)
    awk -v id="$1." -v count="$2" -v now="$now" '
        $2 == "start" && index($3, id) == 1 { open[$3 " " $5] = 1; last = $1 }
        ($2 == "end" || $2 == "gone") && index($3, id) == 1 {
            delete open[$3 " " $5]; last = $1
            if ($9 == "done" && !($3 in done)) { done[$3] = 1; ended++ }
        }
        END {
            running = 0
            for (each in open) running++
            printf "job %s done %d of %d, running %d, idle for %d ms\n", id, ended, count, running, now - last
            exit !(ended < count && running == 0 && now - last >= 3000)
        }' "$record" >"$work_dir/lost"
    local lost=$?
    note "$(cat "$work_dir/lost")"
    return $lost
}
