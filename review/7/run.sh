#!/usr/bin/env bash
# A worker crashes on which a lasting task runs whose queue asks for advice.
set -uo pipefail
cd "$(dirname "$0")/../.."
. review/common-2.sh

advice=$store
advised='"Advice":{"DecideMs":20,"PeriodMs":2,"ValidMs":60000},'
start_deployment "{\"address\":\"$ip\",\"port\":20000,\"validMs\":60000,\"workers\":$(worker_list 8 32000 '["a","r1"]'),\"configuration\":$(configuration 1 "$(queue card-render),$(queue date-watch "$advised")")}"
# Four workers are full for 6 s when the lasting job comes, so the advice is about the four others.
full='{"Spec":"work_ms=6000","Steps":[{"Count":4,"Cpu":30000,"MemMb":500,"EstimateMs":6000}]}'
lasting='{"Spec":"work_ms=200000 advised","Steps":[{"Count":4,"Cpu":20000,"MemMb":500,"LongRunning":true,"AntiAffinity":1}]}'
submit 1 /card-render/00000000000000ca "$full" || cannot_run "not accepted"
sleep 1
submit 2 /date-watch/00000000000000ba "$lasting" || cannot_run "not accepted"
sleep 11
victim=$(history | grep 'task=00000000000000ba.0.0.0 ' | sed 's/.*worker=\([^ ]*\).*/\1/')
[ -n "$victim" ] || cannot_run "the lasting job does not run"
if [ "$trouble" = 1 ]; then
    note "the worker $victim crashes, and starts again after 2 s"
    call POST "$store" /crash "{\"workers\":[\"$victim\"],\"for_ms\":2000}" >/dev/null
fi
sleep 25
history >"$work_dir/history"
cat "$work_dir/history" >>"$record"
running=$(grep 'task=00000000000000ba\.' "$work_dir/history" | grep -c how=runs)
note "25 s later: $running of 4 lasting tasks run; of 8 workers of 32 cores, $((8 - running)) run nothing"
[ "$running" = 4 ]
