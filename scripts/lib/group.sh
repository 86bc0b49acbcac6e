# Functions to start and stop a complete system on this machine: platform, four
# zones with two balancers each, the backend servers of two customers, the
# fabric, and callers that check every response.  A script that sources this
# file sets these variables first:
#   program  name in messages       build  directory of the programs
#   policy   of the balancers       port   first of 400 UDP and TCP ports
#   logs     directory of the logs, emptied by start_group
# It installs the traps with trap_signals.

group=main
zones="recife-a recife-b salvador-a fortaleza-a"
zone_list=recife-a,recife-b,salvador-a,fortaleza-a
platform=127.0.0.1:$port
fabric=127.0.0.1:$((port + 1))
callers=127.0.0.1:$((port + 2))
ready_tries=300
# Authenticates packets between the balancers; for these test runs only.
GOOSEBERRYDRUM_GROUP_KEY=00112233445566778899aabbccddeeff
export GOOSEBERRYDRUM_GROUP_KEY
pids=

say () {
  echo "$program: $*" >&2
}

# Ends only the processes that this script started.  A process that is paused
# with SIGSTOP is continued, because it handles SIGTERM only then.
end_group () {
  for pid in $pids; do
    kill "$pid" 2>/dev/null || true
    kill -CONT "$pid" 2>/dev/null || true
  done
  tries=0
  remaining=
  while [ $tries -lt 40 ]; do
    remaining=
    for pid in $pids; do
      kill -0 "$pid" 2>/dev/null && remaining="$remaining $pid"
    done
    [ -z "$remaining" ] && break
    sleep 0.1
    tries=$((tries + 1))
  done
  for pid in $remaining; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait
  pids=
}

clean_up () {
  trap - EXIT INT TERM
  end_group
}

trap_signals () {
  trap clean_up EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# start LOG PROGRAM ARGUMENT...: starts a process in the background; sets
# $started to its PID.
start () {
  log=$1
  shift
  "$@" > "$logs/$log.out" 2> "$logs/$log.log" &
  started=$!
  pids="$pids $started"
}

# balancer_port NUMBER: prints the first port of a balancer.
balancer_port () {
  echo $((port + 200 + $1 * 10))
}

# start_balancer NUMBER ZONE: sets $balancer_NUMBER to its PID.
start_balancer () {
  first=$(balancer_port "$1")
  start "balancer-$1" "$build/gooseberrydrum" serve \
    --name "balancer-$1" --zone "$2" --group $group --platform "$platform" \
    --fabric-listen "127.0.0.1:$first" \
    --peer-listen "127.0.0.1:$((first + 1))" \
    --link-listen "127.0.0.1:$((first + 2))" \
    --admin-listen "127.0.0.1:$((first + 3))" \
    --policy "$policy" --insecure-links
  eval "balancer_$1=\$started"
}

# start_backends SERVICE PORT COUNT [PREFIX]: sets $pid_PREFIX to the PID.
start_backends () {
  prefix=${4:-$1}
  start "backend-$prefix" "$build/standin-backend" --service "$1" \
    --uid-prefix "$prefix" --port "$2" --count "$3" --callers "$callers" \
    --platform "$platform" --zones "$zone_list"
  eval "pid_$prefix=\$started"
}

put () {
  "$build/standin-put" --platform "$platform" "$@"
}

# apply LIST GENERATION: applies a list that is based on a generation.  Repeats
# the command on status 5: the platform was unreachable and nothing changed.
apply () {
  tries=0
  status=5
  while [ $status -eq 5 ] && [ $tries -lt 50 ]; do
    tries=$((tries + 1))
    status=0
    "$build/gooseberrydrum" "$1" apply "$logs/$1.json" \
      --platform "$platform" --group $group --author "$program" \
      --generation "$2" > "$logs/$1.log" 2>&1 || status=$?
    [ $status -eq 5 ] && sleep 0.1
  done
  if [ $status -ne 0 ]; then
    cat "$logs/$1.log" >&2
    exit 1
  fi
}

# wait_for KIND NAME TEXT: waits until the value of an object contains a text.
wait_for () {
  tries=0
  until put "$1" "$2" 2>/dev/null | grep -q "$3"; do
    tries=$((tries + 1))
    if [ $tries -ge $ready_tries ]; then
      say "$1/$2 did not contain $3 in time; see the logs in $logs"
      exit 1
    fi
    sleep 0.1
  done
}

# write_plans FEEDS_PER_SECOND FILE: FEEDS_PER_SECOND is the limit of new flows
# of the plan "feeds".
write_plans () {
  cat > "$2" <<LIST
{"plans": [
  {"name": "feeds", "services": ["visitas", "acervo"],
   "open_flows": 400000, "new_flows_per_second": $1,
   "idle_limit_s": 3600, "balance_percent": 20},
  {"name": "bookings", "services": ["dispatch", "readings"],
   "open_flows": 400000, "new_flows_per_second": 20000,
   "idle_limit_s": 3600, "balance_percent": 80}]}
LIST
}

write_customers () {
  cat > "$logs/customers.json" <<'LIST'
{"customers": [
  {"name": "casa-lampiao", "plan": "feeds", "services": [
    {"service": "visitas",
     "addresses": ["192.0.2.1:443", "[2001:db8::1]:443"]},
    {"service": "acervo", "addresses": ["192.0.2.2:443"]}]},
  {"name": "maji-laini", "plan": "bookings", "services": [
    {"service": "dispatch",
     "addresses": ["192.0.2.3:443", "[2001:db8::3]:443"]},
    {"service": "readings", "addresses": ["192.0.2.4:443"]}]}]}
LIST
}

start_all_backends () {
  start_backends visitas $((port + 100)) 14
  start_backends acervo $((port + 120)) 4
  start_backends dispatch $((port + 130)) 14
  start_backends readings $((port + 150)) 4
  wait_for endpoints visitas-13 ready
  wait_for endpoints acervo-3 ready
  wait_for endpoints dispatch-13 ready
  wait_for endpoints readings-3 ready
}

start_all_balancers () {
  number=0
  for zone in $zones $zones; do
    number=$((number + 1))
    start_balancer $number "$zone"
  done
  number=0
  for zone in $zones $zones; do
    number=$((number + 1))
    wait_for instances "balancer-$number" '"state":"live"'
  done
  say "8 balancers are live, policy $policy"
}

start_fabric () {
  start fabric "$build/standin-fabric" --listen "$fabric" \
    --platform "$platform" --group $group --lag-ms 300 \
    --loss 0.001 --repeat 0.001 --reorder 0.01 --delay-ms 3
  sleep 1
}

# start_group [FEEDS_PER_SECOND]: starts everything except the callers;
# generation 2 of the lists is accepted afterwards.
start_group () {
  rm -rf "$logs"
  mkdir -p "$logs"
  start platform "$build/standin-platform" --listen "$platform"
  write_plans "${1:-20000}" "$logs/plans.json"
  write_customers
  apply plans 0
  apply customers 1
  start_all_backends
  start_all_balancers
  start_fabric
}

# start_callers FLOWS RATE [ARGUMENT...]: sets $callers_pid to its PID.
# $visitas_ready (14) is the number of endpoints of visitas that stay ready.
start_callers () {
  flows=$1
  rate=$2
  shift 2
  start callers "$build/standin-callers" --listen "$callers" \
    --fabric "$fabric" --flows "$flows" --rate "$rate" --packets 5 \
    --life-ms 4000 --long-share 0.2 \
    --endpoints "visitas=${visitas_ready:-14}" --endpoints acervo=4 --endpoints dispatch=14 \
    --endpoints readings=4 \
    --service 'visitas=192.0.2.1:443:4' \
    --service 'visitas=[2001:db8::1]:443:3' \
    --service 'acervo=192.0.2.2:443:2' "$@"
  callers_pid=$started
  say "callers open $flows flows"
}

# start_both_callers FLOWS RATE [ARGUMENT...]: start_callers with the services
# of both customers.
start_both_callers () {
  start_callers "$@" \
    --service 'dispatch=192.0.2.3:443:4' \
    --service 'dispatch=[2001:db8::3]:443:3' \
    --service 'readings=192.0.2.4:443:2'
}
