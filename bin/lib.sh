# Functions that start the stand-ins and nodes of an example on the loopback address; sourced by the other scripts.
# The caller must set the variable root to the directory of the repository. select_example sets example_dir, base_port
# (the lowest port of the example) and work_dir (a temporary directory).

pids=()
declare -A pid_of

select_example() {
    example_dir="$root/examples/$1"
    case "$1" in
        ice-keepers) base_port=17000 ;;
        indus) base_port=18000 ;;
        *) echo "invalid example \"$1\", expected ice-keepers or indus" >&2; exit 2 ;;
    esac
    work_dir="$(mktemp -d)"
    trap cleanup EXIT
    trap 'exit 130' INT TERM
    export LOVAGETHREAD_SETTINGS="$example_dir/operator.ini"
}

cleanup() {
    trap - EXIT INT TERM
    for pid in "${pids[@]:-}"; do
        [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work_dir"
}

# Builds the project if there is no build, or if a source file is newer than the build.
build_if_needed() {
    local jar="$root/lovagethread-bench/target/lovagethread-bench-0.1.0.jar"
    if [ ! -e "$jar" ] || [ -n "$(find "$root" -path '*/src/main/*' -name '*.java' -newer "$jar" | head -1)" ]; then
        echo "building ..."
        (cd "$root" && mvn -B -q package -DskipTests)
    fi
}

run_stand_in_class() {
    local main="$1"
    shift
    exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms16m -Xmx"${max_heap:-64m}" -Xshare:auto \
        -cp "$root/lovagethread-standins/target/lovagethread-standins-0.1.0.jar:$root/lovagethread-standins/target/lib/*" \
        "org.lovagethread.standins.$main" "$@"
}

# Starts a stand-in in the background. The first argument is the name of the process, the others are passed to it.
start_stand_in() {
    local name="$1"
    shift
    (run_stand_in_class StandInMain "$@") >>"$work_dir/$name.log" 2>&1 &
    pid_of[$name]=$!
    pids+=($!)
}

wait_for() {
    for _ in $(seq 1 200); do
        if curl -fs -o /dev/null "$1" 2>/dev/null; then return 0; fi
        sleep 0.1
    done
    echo "$1 did not respond successfully within 200 attempts" >&2
    tail -n 20 "$work_dir"/*.log >&2 || true
    exit 1
}

start_platform() {
    start_stand_in object-api object-api --port "$base_port"
    start_stand_in cloud-api cloud-api --port $((base_port + 1))
    wait_for "http://127.0.0.1:$((base_port + 1))/instances"
    start_stand_in instance-list instance-list --port $((base_port + 2)) \
        --cloud-api "http://127.0.0.1:$((base_port + 1))" --lag-ms 500
    start_stand_in weight-store weight-store --port $((base_port + 3))
}

# Prints the fields of each upstream of the example, one upstream per line.
print_upstreams() { grep -v -e '^#' -e '^$' "$example_dir/upstreams.txt"; }

# Starts the upstream described by a line of print_upstreams. The optional second argument is a suffix that makes the
# identifier of a replacement differ from that of the instance it replaces.
start_upstream() {
    local kind service id region zone port step fencing version flags=()
    read -r kind service id region zone port step fencing version <<<"$1"
    [ "$fencing" = yes ] && flags+=(--check-fencing)
    [ "$kind" = engine ] && flags+=(--step-ms "$step" --version "$version")
    [ "$kind" = plain ] && flags+=(--ledger "$work_dir/$id.ledger")
    start_stand_in "$id" "$kind" --port "$port" --id "$id${2:-}" --service "$service" --region "$region" \
        --zone "$zone" --cloud-api "http://127.0.0.1:$((base_port + 1))" "${flags[@]}"
}

start_upstreams() {
    while read -r line; do start_upstream "$line"; done < <(print_upstreams)
}

start_node() {
    "$root/bin/lovagethread-node" --settings "$example_dir/node-$1.ini" >>"$work_dir/node-$1.log" 2>&1 &
    pid_of[node-$1]=$!
    pids+=($!)
}

start_nodes() {
    for i in 1 2 3 4 5 6; do start_node "$i"; done
    for i in 1 2 3 4 5 6; do wait_for "http://127.0.0.1:$((base_port + 200 + i))/healthz"; done
    for _ in $(seq 1 50); do
        registered_nodes="$("$root/bin/lovagethread" status --output json | grep -c '"incarnation"' || true)"
        [ "$registered_nodes" = 6 ] && break
        sleep 0.2
    done
}
