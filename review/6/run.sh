#!/usr/bin/env bash
# Accepted jobs of a queue whose route is removed, and then all instances are killed at once and start again.
set -uo pipefail
cd "$(dirname "$0")/../.."
. review/common-2.sh

both="$(queue card-render),$(queue album-proof)"
start_deployment "{\"address\":\"$ip\",\"port\":20000,\"workers\":$(worker_list 6 16000 '["a","r1"]'),\"configuration\":$(configuration 1 "$both")}"

# Two jobs of two steps, and a job of three occurrences of which none is due yet.
two_steps='{"Spec":"work_ms=1500","Steps":[{"Count":4,"Cpu":1000,"MemMb":500,"EstimateMs":1500},{"Count":4,"Cpu":1000,"MemMb":500,"EstimateMs":1500,"DependsOn":[0]}]}'
due=$(($(now_ms) + 10000))
timed='{"Spec":"work_ms=500","Steps":[{"Count":2,"Cpu":1000,"MemMb":500,"EstimateMs":500}],"RepeatCount":3,"StartAtMs":'$due',"IntervalMs":1000}'
submit 1 /album-proof/00000000000000a1 "$two_steps" || cannot_run "not accepted"
submit 2 /album-proof/00000000000000a2 "$two_steps" || cannot_run "not accepted"
submit 3 /album-proof/00000000000000a3 "$timed" || cannot_run "not accepted"

note "the operator removes the route of album-proof (version 2)"
call POST "$store" /operator "$(configuration 2 "$(queue card-render)")" >/dev/null
sleep 0.6
if [ "$trouble" = 1 ]; then
    note "all instances are killed, and start again after 1 s"
    for i in 1 2 3; do kill_instance "$i"; done
    sleep 1
    for i in 1 2 3; do start_instance "$i"; done
fi
# RecoveryS (12), the last due time, finish_s (14) and the 3 s of the rule have passed long before the end.
sleep 40
submit 1 /card-render/00000000000000b1 "$two_steps" || note "card-render was not accepted"
sleep 6

history >"$work_dir/history"
cat "$work_dir/history" >>"$record"
broken=0
expect_done() { # JOB TASKS
    local done_tasks
    done_tasks=$(grep "task=$1\." "$work_dir/history" | grep "how=done" | wc -l)
    note "job $1: $done_tasks of $2 tasks are done"
    # A job of which a task runs is not lost.
    [ "$done_tasks" = "$2" ] || grep "task=$1\." "$work_dir/history" | grep -q how=runs || broken=1
}
expect_done 00000000000000a1 8
expect_done 00000000000000a2 8
expect_done 00000000000000a3 6
grep "task=00000000000000b1" "$work_dir/history" | grep -c how=done | { read -r n; note "job 00000000000000b1 of card-render, handed in 40 s later: $n of 8 tasks are done"; }
note "running at the end: $(grep -c how=runs "$work_dir/history") tasks on 6 workers of 16 cores"
note "the operator adds the route again (version 3)"
call POST "$store" /operator "$(configuration 3 "$both")" >/dev/null
sleep 1
for id in a1 a2 a3; do note "GET /album-proof/00000000000000$id: $(call GET "$(callers_of 1)" "/album-proof/00000000000000$id")"; done
exit $broken
