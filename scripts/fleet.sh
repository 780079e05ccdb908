# Functions to start a small fleet on loopback and to stop it. Sourced by scripts.

# Numbers of free ports are found by binding them; each script gets a block of its own.
fleet_pids=()
fleet_logs=""

fleet_begin() {
  fleet_logs=$(mktemp -d)
  export GREENGAGESEAM_SECRET="a secret for tests only"
  trap fleet_stop_hard EXIT
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
  [ -n "$fleet_logs" ] && rm -rf "$fleet_logs"
  return 0
}
