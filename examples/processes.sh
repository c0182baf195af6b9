#!/bin/sh
# Starts or stops the processes of the example deployment, after `npm run build`: examples/processes.sh start|stop
# Their process ids and logs are kept in dist/.
set -eu
cd "$(dirname "$0")/.."
pids=dist/example.pids
attempts=60

run() {
    log=dist/example-$1.log
    shift
    node "$@" >"$log" 2>&1 &
    echo "$!" >>"$pids"
}

ready() {
    for entry in 127.0.0.1:7001 127.0.0.1:7002; do
        node dist/commandline/main.js show --entry "$entry" --key example-operator-key >/dev/null 2>&1 || return 1
    done
}

alive() {
    for pid in "$@"; do
        if kill -0 "$pid" 2>/dev/null; then return 0; fi
    done
    return 1
}

# Sends SIGTERM to processes that are still there and waits until they have ended.
end() {
    for pid in "$@"; do kill "$pid" 2>/dev/null || true; done
    while alive "$@"; do sleep 0.2; done
}

start() {
    if [ -e "$pids" ]; then
        echo "error: $pids exists; next: examples/processes.sh stop" >&2
        exit 1
    fi
    run standins dist/standins/main.js --settings examples/standins.yaml
    for file in examples/agent-*.yaml examples/entry-*.yaml; do
        name=$(basename "$file" .yaml)
        run "$name" dist/commandline/main.js "${name%%-*}" --settings "$file"
    done
    until ready; do
        attempts=$((attempts - 1))
        if [ "$attempts" -eq 0 ]; then
            echo "error: the entries do not answer; next: read dist/example-*.log, then examples/processes.sh stop" >&2
            exit 1
        fi
        sleep 0.5
    done
    echo "started $(wc -l <"$pids") processes"
}

# The stand-ins end last, as the agents release their slots in the store.
stop() {
    if [ ! -e "$pids" ]; then
        echo "error: nothing was started" >&2
        exit 1
    fi
    end $(tail -n +2 "$pids")
    end $(head -n 1 "$pids")
    rm "$pids"
}

case "${1:-}" in
    start) start ;;
    stop) stop ;;
    *)
        echo "usage: examples/processes.sh start|stop" >&2
        exit 2
        ;;
esac
