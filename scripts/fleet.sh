# Functions to start a small fleet on loopback and to stop it. Sourced by scripts.

fleet_pids=()
fleet_logs=""
fleet_lock=""
fleet_port=0

# Takes the first block of ports that no other run has and on which nobody listens.
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
  echo "no block of free ports" >&2
  return 1
}

fleet_begin() {
  fleet_logs=$(mktemp -d)
  export GREENGAGESEAM_SECRET="a secret for tests only"
  trap fleet_stop_hard EXIT
  fleet_take_ports
}

# start NAME COMMAND...: starts a process, its log in the fleet's folder.
start() {
  local name=$1
  shift
  "$@" >"$fleet_logs/$name.log" 2>&1 &
  fleet_pids+=("$!")
  declare -g "pid_${name//-/_}=$!"
}

# wait_for SECONDS WHAT COMMAND...: repeats the command until it succeeds.
wait_for() {
  local seconds=$1 what=$2 end
  shift 2
  end=$((SECONDS + seconds))
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "failed: $what did not happen within $seconds s" >&2
      tail -n 5 "$fleet_logs"/*.log >&2
      return 1
    fi
    sleep 0.1
  done
  echo "ok: $what"
}

# stop NAME: graceful shutdown; fails unless the process ends with 0.
stop() {
  local variable="pid_${1//-/_}"
  kill -TERM "${!variable}"
  wait "${!variable}"
}

fleet_stop_hard() {
  local pid
  for pid in "${fleet_pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  [ -n "$fleet_lock" ] && rmdir "$fleet_lock"
  [ -n "$fleet_logs" ] && rm -rf "$fleet_logs"
  return 0
}
