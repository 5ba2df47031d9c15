#!/usr/bin/env bash
# A queue asks for advice. The operator writes a configuration in which the advice service needs longer for each
# worker. The service works as configured. Three jobs that are accepted afterwards must be started.
source "$(dirname "$0")/../common-3.sh"

period_ms=20
if [ "$trouble" = 1 ]; then period_ms=60; fi
decide_ms=500
valid_ms=3000
# configure VERSION PERIOD_MS
configure() {
    local advice="\"Advice\":{\"DecideMs\":$decide_ms,\"PeriodMs\":$2,\"ValidMs\":$valid_ms}"
    logged_call put "$base" keyed.op config "{\"Version\":$1,\"Routes\":[{\"Name\":\"batch\",\"Host\":\"localhost\",\"PathPrefix\":\"/batch/\",\"Kind\":\"unsafe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":500,\"Priority\":0,\"Service\":\"service\",\"MaxAttempts\":3,\"Stretch\":2.0,$advice}],\"Services\":[{\"Name\":\"service\",\"HealthPath\":\"/health\",\"MaxConns\":64,\"AdmissionCheck\":false,\"Standby\":false}],\"Limits\":{\"MaxBodyBytes\":262144}}" >/dev/null
    logged_call POST "$base" /advice-times "{\"decide_ms\":$decide_ms,\"period_ms\":$2,\"valid_ms\":$valid_ms}" >/dev/null
    sleep 3 # ConfigApplyMs is 2000.
}
submit() { # ID
    wait_for 10 submit_until_accepted 1 "/batch/$1" \
        '{"Spec":"work_ms=1000 advised=1","Steps":[{"Count":4,"Cpu":500,"MemMb":100,"EstimateMs":1000}]}' ||
        cannot_run "job $1 was not accepted"
}
completed() { state_of 2 "/batch/$1" | grep -q '"completed"'; }

start_all 36 3
configure 4 20
submit 0000000000000021
wait_for 20 completed 0000000000000021 || cannot_run "the first job is not completed"
note "the first job is completed"

configure 7 $period_ms
jobs="0000000000000031 0000000000000032 0000000000000033"
for job in $jobs; do submit $job; done
all_completed() {
    local job
    for job in $jobs; do completed $job || return 1; done
}
wait_for 40 all_completed
keep_events
# Nothing of the job has run at all, 40 s after the last one was accepted.
never_started=
for job in $jobs; do
    events | grep -q " start .* $job" || never_started="$never_started $job"
done
if [ -n "$never_started" ]; then
    note "broken (LOST): for 40 s these jobs have had nothing running, on 36 idle workers:$never_started"
    exit 1
fi
all_completed || cannot_run "the jobs have started and are not completed"
note "held: all jobs have run"
exit 0
