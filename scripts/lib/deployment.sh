# Starts and stops the processes of a deployment; sourced by other scripts.
# Every process is started and stopped by its id and logs to its own file.

# Address of the object API, as the instances' settings name it.
platform_address() {
    sed -nE '/^\[store\]/,/^\[/s/^address = "(.*)"$/\1/p' "$deployment"/instances/*.toml | sort -u
}

# Admin addresses of all instances.
admin_addresses() {
    sed -nE 's/^admin = "(.*)"$/\1/p' "$deployment"/instances/*.toml
}

# Copies a deployment to other ports when a first port is given.
place_deployment() {
    local source=$1 first_port=$2
    deployment=$source
    if [ -n "$first_port" ]; then
        deployment=$work/deployment
        "$standins" place --first-port "$first_port" "$source" "$deployment"
    fi
}

# Starts a process under a name: start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

# Holds the deployment's ports, so that no outgoing connection takes one.
hold_ports() {
    start holder "$standins" hold "$deployment"
    until grep -q 'ports held' "$work/holder.log"; do
        check_alive || return 1
        sleep 0.1
    done
}

start_standins() {
    local pool
    start platform "$standins" platform --listen "$(platform_address)" --tables "$deployment/tables"
    for pool in $(pool_names); do
        start "servers-$pool" "$standins" backends --pools "$deployment/tables/pools.json" \
            --pool "$pool" --service-ms "$service_ms" --answer-bytes "$answer_bytes"
    done
}

pool_names() {
    sed -nE 's/^      "name": "(.*)",$/\1/p' "$deployment/tables/pools.json"
}

start_instances() {
    local settings
    for settings in "$deployment"/instances/*.toml; do
        start "$(basename "$settings" .toml)" "$bin/marjoramwing" serve -c "$settings"
    done
}

# Fails with a clear message when a process has ended by itself.
check_alive() {
    local name
    for name in "${!pids[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null && continue
        printf '%s: process `%s` ended by itself; the end of its log:\n' "$script" "$name" >&2
        tail -n 5 "$work/$name.log" >&2
        printf '%s: for taken ports, give --first-port PORT\n' "$script" >&2
        return 1
    done
}

# Waits until all instances are ready, or fails when a process ends.
wait_ready() {
    local turn addresses
    mapfile -t addresses < <(admin_addresses)
    for turn in $(seq 1 60); do
        check_alive || return 1
        "$standins" ready --seconds 1 "${addresses[@]}" 2>"$work/ready.log" && check_alive && return 0
    done
    cat "$work/ready.log" >&2
    return 1
}

# Ends one process: asked twice to stop, then killed.
stop_one() {
    local name=$1 pid=${pids[$1]:-} turn
    [ -n "$pid" ] || return 0
    unset "pids[$name]"
    kill -CONT "$pid" 2>/dev/null || return 0
    kill -TERM "$pid" 2>/dev/null || true
    for turn in $(seq 1 100); do
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
}

# Ends everything that was started; instances first and all at once.
stop_all() {
    local name
    for name in "${!pids[@]}"; do
        case $name in
            holder | platform | servers-*) ;;
            *) kill -TERM "${pids[$name]}" 2>/dev/null || true ;;
        esac
    done
    for name in "${!pids[@]}"; do
        case $name in
            holder | platform | servers-*) ;;
            *) stop_one "$name" ;;
        esac
    done
    for name in "${!pids[@]}"; do
        stop_one "$name"
    done
}
