# Functions that start a fleet on loopback for measurements. To be sourced by
# a bash script that has set build (the build folder). Ports start at
# BENCH_PORT_BASE, default 26000: entries at +0, endpoints where the script
# says.
fleet_base=${BENCH_PORT_BASE:-26000}
fleet_folder=$(mktemp -d)
fleet_pids=()

fleet_stop() {
	[ ${#fleet_pids[@]} -eq 0 ] || kill "${fleet_pids[@]}" 2>/dev/null || true
	wait "${fleet_pids[@]}" 2>/dev/null || true
	fleet_pids=()
}

trap 'fleet_stop; rm -rf "$fleet_folder"' EXIT

# fleet_upstream PORT_OFFSET COUNT SLOTS SERVICE_MS [OPTION...]
fleet_upstream() {
	local port=$((fleet_base + $1)) count=$2 slots=$3 ms=$4
	shift 4
	"$build/fake_upstream" --port $port --count "$count" --slots "$slots" \
		--service-ms "$ms" "$@" &
	fleet_pids+=($!)
}

# fleet_endpoints PORT_OFFSET COUNT: the list for a schema
fleet_endpoints() {
	local i
	for ((i = 0; i < $2; i++)); do
		[ "$i" -eq 0 ] || printf ', '
		printf '"127.0.0.1:%d"' $((fleet_base + $1 + i))
	done
}

# fleet_entries COUNT SCHEMA_FILE SETTINGS: SETTINGS is JSON members that end
# with a comma, or nothing. Returns when all entries answer.
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

# fleet_wait PORT: until an entry answers there, at most 5 s
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
