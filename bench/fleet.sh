# Functions that start entries and fake upstream endpoints on loopback for a
# benchmark. Source this in a bash script that has set build to the build
# folder. Ports start at BENCH_PORT_BASE, default 26000: entries at offset 0,
# endpoints at an offset that the script chooses.
fleet_base=${BENCH_PORT_BASE:-26000}
fleet_folder=$(mktemp -d)
fleet_pids=()

# fleet_stop: terminates all started processes and waits for them
fleet_stop() {
	[ ${#fleet_pids[@]} -eq 0 ] || kill "${fleet_pids[@]}" 2>/dev/null || true
	wait "${fleet_pids[@]}" 2>/dev/null || true
	fleet_pids=()
}

trap 'fleet_stop; rm -rf "$fleet_folder"' EXIT

# fleet_upstream PORT_OFFSET COUNT SLOTS SERVICE_MS [OPTION...]: starts a
# process that serves COUNT endpoints
fleet_upstream() {
	local port=$((fleet_base + $1)) count=$2 slots=$3 ms=$4
	shift 4
	"$build/fake_upstream" --port $port --count "$count" --slots "$slots" \
		--service-ms "$ms" "$@" &
	fleet_pids+=($!)
}

# fleet_endpoints PORT_OFFSET COUNT: prints the endpoint addresses as members
# of a JSON list
fleet_endpoints() {
	local i
	for ((i = 0; i < $2; i++)); do
		[ "$i" -eq 0 ] || printf ', '
		printf '"127.0.0.1:%d"' $((fleet_base + $1 + i))
	done
}

# fleet_entries COUNT SCHEMA_FILE SETTINGS: starts entries and waits until all
# are ready. SETTINGS is empty, or JSON members that end with a comma.
fleet_entries() {
	local i port
	for ((i = 0; i < $1; i++)); do
		port=$((fleet_base + i))
		cat >"$fleet_folder/entry-$i.json" <<-JSON
			{ $3 "instance": "entry-$i", "data_centre": "dc-$((i % 3))",
			"caller_address": "127.0.0.1:$port",
			"config_file": "$2" }
		JSON
		"$build/catkinstalld" --settings "$fleet_folder/entry-$i.json" \
			2>"$fleet_folder/entry-$i.log" &
		fleet_pids+=($!)
	done
	for ((i = 0; i < $1; i++)); do
		fleet_wait $((fleet_base + i))
	done
}

# fleet_wait PORT: waits up to 5 s until the entry on the port is ready
fleet_wait() {
	local tries
	for ((tries = 0; tries < 100; tries++)); do
		"$build/catkinctl" --entry "127.0.0.1:$1" resolve >/dev/null 2>&1 &&
			return 0
		sleep 0.05
	done
	echo "no answer on port $1" >&2
	return 1
}
