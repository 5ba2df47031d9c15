#!/usr/bin/env bash
# A worker of a gang that saves checkpoints crashes, twice. The gang starts again from its checkpoint.
set -uo pipefail
cd "$(dirname "$0")/../.."
. review/common-2.sh

# 8 workers; the loss of one of them is 0.125 of all (srv_crash: 0.14). A member takes a whole worker.
start_deployment "{\"address\":\"$ip\",\"port\":20000,\"workers\":$(worker_list 8 16000 '["a","r1"]'),\"configuration\":$(configuration 1 "$(queue card-render)")}"
gang='{"Spec":"work_ms=12000 saves gang=4","Steps":[{"Count":4,"Cpu":12000,"MemMb":500,"EstimateMs":12000,"Gang":true,"Checkpointing":true}]}'
for i in 1 2 ; do
    submit $i /card-render/00000000000000d$i "$gang" || cannot_run "not accepted"
done
sleep 6.3
for round in 1 2; do
    if [ "$trouble" = 1 ]; then
        victim=$(history | grep 'task=00000000000000d1.0.0.2 ' | tail -1 | sed 's/.*worker=\([^ ]*\).*/\1/')
        note "the worker $victim crashes, and starts again after 2 s"
        call POST "$store" /crash "{\"workers\":[\"$victim\"],\"for_ms\":2000}" >/dev/null
    fi
    sleep 6.3
done
sleep 20
history >"$work_dir/history"
cat "$work_dir/history" >>"$record"
broken=0
for key in $(sed -n 's/.*task=\([^ ]*\)\.[0-9]* run=\([0-9]*\) .*/\1@\2/p' "$work_dir/history" | sort -u); do
    values=$(grep "task=${key%@*}\.[0-9]* run=${key#*@} " "$work_dir/history" | sed 's/.*checkpoint=\([^ ]*\).*/\1/' | sort -u)
    note "step ${key%@*}, run ${key#*@}: checkpoints $(echo $values)"
    [ "$(echo "$values" | wc -l)" = 1 ] || broken=1
done
exit $broken
