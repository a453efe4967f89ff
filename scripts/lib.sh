# Functions for scripts that start real processes on loopback. Source it from the repository root.
# shellcheck shell=bash

bin=target/release
run=$(mktemp -d)
pids=()
zones=(shawinigan la-tuque trois-rivieres)

build() {
    cargo build --release --locked --bins >&2
}

# Stops the processes started by `start`.
stop_all() {
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
}
trap stop_all EXIT

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids+=($!)
}

# Selects COUNT free ports, which `address INDEX` refers to.
pick_ports() { # COUNT
    mapfile -t ports < <("$bin/heronbend-emulator" ports "$1")
}

address() { # INDEX
    echo "127.0.0.1:${ports[$1]}"
}

# Starts daemon NUMBER on the port indices HTTP, PEER and ADMIN; the platform is at index 0.
start_daemon() { # NUMBER HTTP PEER ADMIN
    start "gauge-$1" "$bin/heronbend" serve --node "gauge-$1" --zone "${zones[$(($1 - 1))]}" \
        --region mauricie --platform "$(address 0)" --listen "$(address "$2")" \
        --peer-listen "$(address "$3")" --admin-listen "$(address "$4")"
}

apply_settings() { # ADMIN-ADDRESS
    until "$bin/heronbend" settings apply examples/gauge/settings.toml --admin "$1" >&2; do
        sleep 0.1
    done
}

wait_ready() { # ADMIN-ADDRESS
    until curl -sf -o /dev/null "http://$1/readyz"; do sleep 0.1; done
}
