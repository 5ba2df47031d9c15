#!/usr/bin/env bash
# Workers crash and start again under their ids as workers of another kind, while the store does not serve the
# partition of their entries.
set -uo pipefail
cd "$(dirname "$0")/../.."
. review/common-2.sh

# 42 workers of kind a and 6 of kind b.
b_workers=
for i in 1 2 3 4 5 6; do
    b_workers+=",{\"id\":\"i-8b0c410$i\",\"service\":\"recordar\",\"labels\":[\"b\",\"r2\"],\"Cpu\":32000,\"MemMb\":64000}"
done
workers=$(worker_list 42 32000 '["a","r1"]')
start_deployment "{\"address\":\"$ip\",\"port\":20000,\"workers\":${workers%]}$b_workers],\"configuration\":$(configuration 1 "$(queue card-render)")}"
# More tasks than the workers of kind b can run at once, so some wait all the while.
needs_b='{"Spec":"work_ms=4000","Steps":[{"Count":36,"Cpu":8000,"MemMb":500,"EstimateMs":4000,"Requires":"b"}]}'
submit 1 /card-render/00000000000000ba "$needs_b" || cannot_run "not accepted"
submit 2 /card-render/00000000000000bb "$needs_b" || cannot_run "not accepted"
sleep 2
if [ "$trouble" = 1 ]; then
    note "the store refuses all calls for keyed.servers for 4 s; the workers of kind b crash, and start again after 1 s as kind c"
    call POST "$store" /admin '{"fault":"refused","topic":"keyed.servers","for_ms":4000}' >/dev/null
    call POST "$store" /crash '{"workers":["i-8b0c4101","i-8b0c4102","i-8b0c4103","i-8b0c4104","i-8b0c4105","i-8b0c4106"],"for_ms":1000,"labels":["c","r2"]}' >/dev/null
fi
sleep 20
history >"$work_dir/history"
cat "$work_dir/history" >>"$record"
wrong=$(grep '^start=' "$work_dir/history" | grep -vc ' labels=b,')
note "starts: $(grep -c '^start=' "$work_dir/history"), of these on a worker without the label b: $wrong"
[ "$wrong" = 0 ]
