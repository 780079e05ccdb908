# Shell functions that start and stop a small fleet on loopback. Scripts source this file.

fleet_pids=()
fleet_logs=""
fleet_lock=""
fleet_port=0

# Reserves the first block of ports that no other run has reserved and on which no process listens.
# The reservation is a lock directory, which fleet_stop_hard removes.
fleet_take_ports() {
  local first=18400 last=30000 block=40 base port
  for ((base = first; base < last; base += block)); do
    fleet_lock="${TMPDIR:-/tmp}/greengageseam-ports-$base"
    mkdir "$fleet_lock" 2>/dev/null || { fleet_lock=""; continue; }
    fleet_port=$base
    for ((port = base; port < base + block; port++)); do
      (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && fleet_port=0 && break
    done
    [ "$fleet_port" -ne 0 ] && return 0
    rmdir "$fleet_lock"
    fleet_lock=""
  done
  echo "no block of free ports found" >&2
  return 1
}

fleet_begin() {
  fleet_logs=$(mktemp -d)
  export GREENGAGESEAM_SECRET="a secret for tests only"
  trap fleet_stop_hard EXIT
  fleet_take_ports
}

# start NAME COMMAND...: starts a background process whose output goes to the fleet's log directory.
start() {
  local name=$1
  shift
  "$@" >"$fleet_logs/$name.log" 2>&1 &
  fleet_pids+=("$!")
  declare -g "pid_${name//-/_}=$!"
}

# wait_for SECONDS WHAT COMMAND...: repeats the command until it succeeds; fails on timeout.
wait_for() {
  local seconds=$1 what=$2 end
  shift 2
  end=$((SECONDS + seconds))
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "failed: timed out after $seconds s: $what" >&2
      tail -n 5 "$fleet_logs"/*.log >&2
      return 1
    fi
    sleep 0.1
  done
  echo "ok: $what"
}

# stop NAME: shuts a process down gracefully; fails unless its exit code is 0.
stop() {
  local variable="pid_${1//-/_}"
  kill -TERM "${!variable}"
  wait "${!variable}"
}

# Kills all processes and removes the logs and the port reservation.
fleet_stop_hard() {
  local pid
  for pid in "${fleet_pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  [ -n "$fleet_lock" ] && rmdir "$fleet_lock"
  [ -n "$fleet_logs" ] && rm -rf "$fleet_logs"
  return 0
}
