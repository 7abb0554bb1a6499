#!/bin/sh
# Plays one case: play.sh NUMBER. Starts the gateways with the command of the
# deploy file, and again when one ends, as the platform does; starts the
# stand-ins, and ends them all. GATEWAY names another build of the gateway, LOGS
# a folder for the logs.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 2
number=$1
command=${GATEWAY:-$(sed -n 's/^run = "\([^ ]*\) .*"$/\1/p' deploy/system.toml)}
[ -x "$command" ] && [ -x build/review-standin ] || exit 2
folder=$(mktemp -d) || exit 2
runners=

# Runs one gateway until the folder has the file "over".
run_gateway() {
	while [ ! -e "$folder/over" ]; do
		"$command" --settings "$folder/gateway-$1.toml" \
			>>"$folder/gateway-$1.log" 2>&1 &
		echo $! >"$folder/gateway-$1.pid"
		wait $!
		status=$?
		[ -e "$folder/over" ] ||
			echo "gateway $1 ended by itself, status $status" \
				>>"$folder/ends"
		sleep 0.5
	done
}

kill_gateways() {
	for i in 0 1 2; do
		[ -f "$folder/gateway-$i.pid" ] &&
			kill -9 "$(cat "$folder/gateway-$i.pid")" 2>/dev/null
	done
}

end() {
	: >"$folder/over"
	kill -9 "$standin" 2>/dev/null
	# A gateway may just have been started again.
	for runner in $runners; do
		while kill -0 "$runner" 2>/dev/null; do
			kill_gateways
			sleep 0.1
		done
	done
	wait 2>/dev/null
	[ -f "$folder/ends" ] && cat "$folder/ends" >>"$folder/record.txt"
	if [ -d "review/$number" ] && [ -f "$folder/record.txt" ]; then
		cp "$folder/record.txt" "review/$number/record.txt"
	elif [ -f "$folder/record.txt" ]; then
		cat "$folder/record.txt"
	fi
	[ -n "$LOGS" ] && cp "$folder"/*.log "$LOGS"
	rm -rf "$folder"
}

trap 'end; exit 2' INT TERM HUP
build/review-standin "$number" "$folder" &
standin=$!
for i in 0 1 2; do
	tries=0
	while [ ! -f "$folder/gateway-$i.toml" ]; do
		tries=$((tries + 1))
		[ $tries -gt 100 ] && { end; exit 2; }
		sleep 0.1
	done
	run_gateway $i &
	runners="$runners $!"
done
wait "$standin"
result=$?
end
exit $result
