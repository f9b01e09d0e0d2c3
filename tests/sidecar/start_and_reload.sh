#!/bin/sh
# At start a missing setting is reported in one line, with a non-zero exit status.
set -eu
sidecar=$1
fails() {
    if output=$("$sidecar" 2>&1); then exit 1; fi
    test "$output" = "lichenlanding: $1" || { echo "output: $output"; exit 1; }
}
unset RELAY_CONFIG RELAY_NAME RELAY_LISTEN RELAY_DISCOVERY
fails "environment: RELAY_CONFIG is missing"
export RELAY_CONFIG=/nowhere/config.json
fails "cannot read the configuration /nowhere/config.json"
RELAY_CONFIG=$(mktemp)
trap 'rm -f "$RELAY_CONFIG"' EXIT
echo '{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:1"}' > "$RELAY_CONFIG"
fails "configuration: field seed is missing or cannot be read"

# SIGHUP reloads the file. If it cannot be read, the old configuration stays in force and the process continues.
config() {
    echo '{"name":"n0","listen":"127.0.0.1:'$1'","discovery":"127.0.0.1:1","seed":"7","limits":{"sockets":64},
      "deployer":{"address":"127.0.0.1:'$2'"},"settings":{"index":0,"balancers":1,"zones":["a"],"zone":"a","tickMs":5,
      "classes":[{"name":"read","effect":"pure","goalTimeMs":100,"deadlineMs":200}],
      "limits":{"maxAttempts":2,"connectTimeoutMs":250,"keepaliveMs":9000,"maxOpen":100},
      "rules":{"drainGraceMs":2000,"coldFrom":0.4,"coldMs":4500,"fallMultiple":2,"overloadForMs":1500},
      "extra":{"voteMode":"majority","caps":[0.1,1],"free":2,"exposureWindowMs":6000,"ballotTtlMs":6000,
      "answerWaitMs":800,"callsPerS":250}}}' > "$RELAY_CONFIG"
}
log=$(mktemp)
wait_for_log() {  # waits until a line of the log matches
    for turn in $(seq 300); do
        if grep -q "$1" "$log"; then return 0; fi
        sleep 0.1
    done
    echo "not logged: $1"; cat "$log"; exit 1
}
for port in $(seq 21000 37 23000); do  # takes the first free port
    config "$port" 2
    "$sidecar" 2> "$log" &
    pid=$!
    wait_for_log 'start: \|cannot listen'
    if grep -q 'start: ' "$log"; then break; fi
done
# What the fleet's bench allows: dynamically linked with the C library, no child, one thread, IPv4 sockets only.
readelf -l "$sidecar" | grep -q 'program interpreter' || { echo "not linked dynamically"; exit 1; }
if pgrep -P "$pid" >/dev/null || [ "$(ls /proc/"$pid"/task | wc -l)" -ne 1 ]; then echo "a child or a thread"; exit 1; fi
for inode in $(ls -l /proc/"$pid"/fd | sed -n 's/.*socket:\[\([0-9]*\)\].*/\1/p'); do
    if { awk '{print $7}' /proc/"$pid"/net/unix; cat /proc/"$pid"/net/tcp6 /proc/"$pid"/net/udp6 2>/dev/null |
        awk '{print $10}'; } | grep -qx "$inode"; then echo "a Unix or IPv6 socket"; exit 1; fi
done
config "$port" 3
kill -HUP "$pid"
wait_for_log 'reloaded: .*127.0.0.1:3'
echo '{' > "$RELAY_CONFIG"
kill -HUP "$pid"
wait_for_log 'reload failed, configuration unchanged'
kill -HUP "$pid"; kill -TERM "$pid"
wait "$pid"
rm -f "$log"
