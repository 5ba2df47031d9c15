#!/usr/bin/env bash
# Empty workers are added, while a step waits that requires a label and whose queue asks for advice.
set -uo pipefail
cd "$(dirname "$0")/../.."
. review/common-2.sh

advice=$store
advised='"Advice":{"DecideMs":20,"PeriodMs":2,"ValidMs":3000},'
# 24 workers of kind a and 6 of kind b.
b_workers=
for i in 1 2 3 4 5 6; do
    b_workers+=",{\"id\":\"i-8b0c410$i\",\"service\":\"recordar\",\"labels\":[\"b\",\"r2\"],\"Cpu\":32000,\"MemMb\":64000}"
done
workers=$(worker_list 24 32000 '["a","r1"]')
start_deployment "{\"address\":\"$ip\",\"port\":20000,\"validMs\":3000,\"workers\":${workers%]}$b_workers],\"configuration\":$(configuration 1 "$(queue card-render),$(queue album-proof "$advised")")}"
# Half of the processors of each worker of kind b are in use.
lasting='{"Spec":"work_ms=100000","Steps":[{"Count":6,"Cpu":12000,"MemMb":500,"LongRunning":true,"Requires":"b","AntiAffinity":1}]}'
needs_b='{"Spec":"work_ms=500 advised","Steps":[{"Count":4,"Cpu":1000,"MemMb":500,"EstimateMs":500,"Requires":"b"}]}'
submit 1 /card-render/00000000000000ca "$lasting" || cannot_run "not accepted"
sleep 4
submit 2 /album-proof/00000000000000ba "$needs_b" || cannot_run "not accepted"
sleep 5
if [ "$trouble" = 1 ]; then
    note "7 empty workers of kind a are added"
    added=$(worker_list 31 32000 '["a","r1"]' | sed 's/.*\({"id":"i-7f3a9025"\)/[\1/')
    call POST "$store" /add "{\"workers\":$added}" >/dev/null
fi
sleep 4
submit 3 /album-proof/00000000000000bb "$needs_b" || cannot_run "not accepted"
sleep 40
history >"$work_dir/history"
sleep 3
history >"$work_dir/history-later"
cat "$work_dir/history-later" >>"$record"
broken=0
for id in ba bb; do
    done_tasks=$(grep "task=00000000000000$id\." "$work_dir/history-later" | grep -c how=done)
    note "job $id: $done_tasks of 4 tasks are done; GET: $(call GET "$(callers_of 1)" /album-proof/00000000000000$id)"
    # Lost: its tasks are not done, none runs, and none did in the last 3 s.
    if [ "$done_tasks" != 4 ] && ! grep "task=00000000000000$id\." "$work_dir/history" | grep -q how=runs \
        && [ "$(grep "task=00000000000000$id\." "$work_dir/history")" = "$(grep "task=00000000000000$id\." "$work_dir/history-later")" ]; then
        broken=1
    fi
done
note "running at the end: $(grep -c how=runs "$work_dir/history") tasks of 12 cores; each worker of kind b has 20 of 32 cores left"
exit $broken
