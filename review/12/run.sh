#!/usr/bin/env bash
# A task runs on a worker. Another writer puts an entry under that worker's id, of a service that the
# configuration does not name. The entry names no worker to use, and the worker's own entries hold: the task
# must not be started again while it runs.
source "$(dirname "$0")/../common-3.sh"

job=00000000000000c1
start_all 8 3
wait_for 10 submit_until_accepted 1 "/batch/$job" \
    '{"Spec":"work_ms=15000","Steps":[{"Count":1,"Cpu":500,"MemMb":100,"EstimateMs":15000}]}' ||
    cannot_run "the job was not accepted"
running_on() { events | sed -n "s/^[0-9]* start \([^ ]*\) $job.0.0.0 .*/\1/p" | head -1; }
runs() { [ -n "$(running_on)" ]; }
wait_for 10 runs || cannot_run "the task did not start"
sleep 3
worker=$(running_on)

if [ "$trouble" = 1 ]; then
    # Another deployment's worker, which has just started. Nothing listens at its address.
    entry="{\"Service\":\"another-service\",\"Address\":\"127.0.0.1:$((base + 19))\",\"Zone\":\"north\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{\"Cpu\":8000,\"MemMb\":16000,\"Gpu\":0},\"Labels\":[\"b\",\"south-r9\"],\"born\":$(now_ms),\"Sequence\":1}"
    logged_call put "$base" keyed.servers "$worker" "$entry" >/dev/null
fi
sleep 15
keep_events
starts=$(events | grep -c " start .* $job.0.0.0 ")
note "starts of the task: $starts"
if [ "$starts" -gt 1 ]; then
    note "broken (TWICE): the task was started again while it ran on $worker"
    exit 1
fi
note "held: the task was started once"
exit 0
