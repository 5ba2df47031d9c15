#!/usr/bin/env bash
# The instance that a client uses is killed before the client's job reaches it. The client cancels at another
# instance and asks there for the job, which nobody has submitted.
set -uo pipefail
cd "$(dirname "$0")/../.."
. review/common-2.sh
instances=6

start_deployment "{\"address\":\"$ip\",\"port\":20000,\"workers\":$(worker_list 6 16000 '["a","r1"]'),\"configuration\":$(configuration 1 "$(queue card-render)")}"
job='{"Spec":"work_ms=500","Steps":[{"Count":2,"Cpu":1000,"MemMb":500,"EstimateMs":500}]}'
lasting='{"Spec":"work_ms=60000","Steps":[{"Count":2,"Cpu":1000,"MemMb":500,"LongRunning":true}]}'
submit 1 /card-render/00000000000000ca "$job" || cannot_run "not accepted"
if [ "$trouble" = 1 ]; then
    note "front-3 is killed"
    kill_instance 3
fi
answer=$(call POST "$(callers_of 3)" /card-render/00000000000000ba "$lasting")
note "POST /card-render/00000000000000ba at front-3: $answer"
[ "$trouble" = 0 ] || [ "${answer:0:3}" = 000 ] || cannot_run "the killed instance answered"
sleep 2.5
if [ "$trouble" = 1 ]; then
    note "front-3 starts again"
    start_instance 3
fi
sleep 1
note "GET /card-render/00000000000000ba at front-1: $(call GET "$(callers_of 1)" /card-render/00000000000000ba)"
note "DELETE /card-render/00000000000000ba at front-2: $(call DELETE "$(callers_of 2)" /card-render/00000000000000ba)"
broken=0
for i in 1 2 3 4 5 6; do
    sleep 2
    answer=$(call GET "$(callers_of $((i % 2 + 1)))" /card-render/00000000000000ba)
    note "GET /card-render/00000000000000ba: $answer"
    [ "$trouble" = 1 ] && [ "${answer:0:3}" = 200 ] && broken=1
done
history >>"$record"
exit $broken
