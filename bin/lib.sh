# Functions that start the stand-ins and nodes of an example on loopback; sourced by the other scripts.
# Sets: example, base (first port), work (scratch folder). Expects: root.

pids=()
declare -A pid_of

use_example() {
    example="$root/examples/$1"
    case "$1" in
        ice-keepers) base=17000 ;;
        indus) base=18000 ;;
        *) echo "found example \"$1\", allowed ice-keepers or indus" >&2; exit 2 ;;
    esac
    work="$(mktemp -d)"
    trap cleanup EXIT
    trap 'exit 130' INT TERM
    export LOVAGETHREAD_SETTINGS="$example/operator.ini"
}

cleanup() {
    trap - EXIT INT TERM
    for pid in "${pids[@]:-}"; do
        [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}

# Builds when there is no build yet, or a source is newer than it.
build_if_needed() {
    local built="$root/lovagethread-bench/target/lovagethread-bench-0.1.0.jar"
    if [ ! -e "$built" ] || [ -n "$(find "$root" -path '*/src/main/*' -name '*.java' -newer "$built" | head -1)" ]; then
        echo "building ..."
        (cd "$root" && mvn -B -q package -DskipTests)
    fi
}

standin_class() {
    local main="$1"
    shift
    exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms16m -Xmx"${heap:-64m}" -Xshare:auto \
        -cp "$root/lovagethread-standins/target/lovagethread-standins-0.1.0.jar:$root/lovagethread-standins/target/lib/*" \
        "org.lovagethread.standins.$main" "$@"
}

# Starts a stand-in under a name; the remaining arguments are its own.
start_standin() {
    local name="$1"
    shift
    (standin_class StandInMain "$@") >>"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
    pids+=($!)
}

wait_for() {
    for _ in $(seq 1 200); do
        if curl -fs -o /dev/null "$1" 2>/dev/null; then return 0; fi
        sleep 0.1
    done
    echo "$1 did not answer" >&2
    tail -n 20 "$work"/*.log >&2 || true
    exit 1
}

start_platform() {
    start_standin object-api object-api --port "$base"
    start_standin cloud-api cloud-api --port $((base + 1))
    wait_for "http://127.0.0.1:$((base + 1))/instances"
    start_standin instance-list instance-list --port $((base + 2)) \
        --cloud-api "http://127.0.0.1:$((base + 1))" --lag-ms 500
    start_standin weight-store weight-store --port $((base + 3))
}

# Prints the fields of the upstreams of the example, a line each.
upstream_lines() { grep -v -e '^#' -e '^$' "$example/upstreams.txt"; }

# Starts the upstream whose line is given; a generation keeps identifiers of replacements apart.
start_upstream() {
    local kind service id region zone port step fencing version flags=()
    read -r kind service id region zone port step fencing version <<<"$1"
    [ "$fencing" = yes ] && flags+=(--check-fencing)
    [ "$kind" = engine ] && flags+=(--step-ms "$step" --version "$version")
    [ "$kind" = plain ] && flags+=(--ledger "$work/$id.ledger")
    start_standin "$id" "$kind" --port "$port" --id "$id${2:-}" --service "$service" --region "$region" \
        --zone "$zone" --cloud-api "http://127.0.0.1:$((base + 1))" "${flags[@]}"
}

start_upstreams() {
    while read -r line; do start_upstream "$line"; done < <(upstream_lines)
}

start_node() {
    "$root/bin/lovagethread-node" --settings "$example/node-$1.ini" >>"$work/node-$1.log" 2>&1 &
    pid_of[node-$1]=$!
    pids+=($!)
}

start_nodes() {
    for i in 1 2 3 4 5 6; do start_node "$i"; done
    for i in 1 2 3 4 5 6; do wait_for "http://127.0.0.1:$((base + 200 + i))/healthz"; done
    for _ in $(seq 1 50); do
        listed="$("$root/bin/lovagethread" status --output json | grep -c '"incarnation"' || true)"
        [ "$listed" = 6 ] && break
        sleep 0.2
    done
}
