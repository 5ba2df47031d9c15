#!/usr/bin/env bash
# A large job, whose progress record does not fit into one record of the store, beside small jobs.
set -uo pipefail
cd "$(dirname "$0")/../.."
. review/common-2.sh

# 48 workers of 32 cores, as in the larger of today's deployments.
start_deployment "{\"address\":\"$ip\",\"port\":20000,\"workers\":$(worker_list 48 32000 '["a","r1"]'),\"configuration\":$(configuration 1 "$(queue card-render),$(queue album-proof)")}"
small='{"Spec":"work_ms=500","Steps":[{"Count":4,"Cpu":1000,"MemMb":500,"EstimateMs":500}]}'
count=500
[ "$trouble" = 1 ] && count=3600
step="{\"Count\":$count,\"Cpu\":200,\"MemMb\":20,\"EstimateMs\":8000,\"Checkpointing\":true}"
submit 1 /card-render/00000000000000a1 "$small" || cannot_run "not accepted"
sleep 3
large_answer=$(call POST "$(callers_of 2)" /album-proof/00000000000000b1 "{\"Spec\":\"work_ms=8000 saves\",\"Steps\":[$step,$step]}")
note "POST of a job of 2 steps of $count tasks: $large_answer"
sleep 12
for i in 2 3 4 5; do
    submit $((i % 3 + 1)) /card-render/00000000000000a$i "$small" || cannot_run "a small job is not accepted"
done
sleep 40
history >"$work_dir/history"
head -1 "$work_dir/history" | tee -a "$record"
grep 'task=00000000000000a' "$work_dir/history" >>"$record"
{ echo "the first and the last runs of the large job:"; grep 'task=00000000000000b1' "$work_dir/history" | sed -n '1,10p;$p'; } >>"$record"
broken=0
for i in 1 2 3 4 5; do
    done_tasks=$(grep "task=00000000000000a$i\." "$work_dir/history" | grep -c how=done)
    note "small job a$i: $done_tasks of 4 tasks are done; GET: $(call GET "$(callers_of 1)" /card-render/00000000000000a$i)"
    [ "$done_tasks" = 4 ] || grep "task=00000000000000a$i\." "$work_dir/history" | grep -q how=runs || broken=1
done
note "large job: $(grep 'task=00000000000000b1' "$work_dir/history" | grep -c how=done) of $((2 * count)) tasks are done; GET: $(call GET "$(callers_of 1)" /album-proof/00000000000000b1)"
[ "$trouble" = 1 ] || exit $broken
note "the large job is cancelled: $(call DELETE "$(callers_of 2)" /album-proof/00000000000000b1)"
sleep 10
submit 3 /card-render/00000000000000a6 "$small" || note "not accepted"
sleep 10
note "small job a6: $(history | grep 'task=00000000000000a6\.' | grep -c how=done) of 4 tasks are done"
exit $broken
