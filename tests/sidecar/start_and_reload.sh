#!/bin/sh
# The sidecar's manners at start: what is missing is named in one line, with a non-zero status.
set -eu
sidecar=$1
fails() {
    if said=$("$sidecar" 2>&1); then exit 1; fi
    test "$said" = "lichenlanding: $1" || { echo "said: $said"; exit 1; }
}
unset RELAY_CONFIG RELAY_NAME RELAY_LISTEN RELAY_DISCOVERY
fails "environment: RELAY_CONFIG is missing"
export RELAY_CONFIG=/nowhere/config.json
fails "cannot read the configuration /nowhere/config.json"
RELAY_CONFIG=$(mktemp)
trap 'rm -f "$RELAY_CONFIG"' EXIT
echo '{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:1"}' > "$RELAY_CONFIG"
fails "configuration: field seed is missing or cannot be read"

# SIGHUP has the file read again; one that cannot be read leaves the old one in force, and ends nothing.
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
said() {  # waits for a line of the log
    for turn in $(seq 300); do
        if grep -q "$1" "$log"; then return 0; fi
        sleep 0.1
    done
    echo "never said: $1"; cat "$log"; exit 1
}
for port in $(seq 21000 37 23000); do  # the first that is free
    config "$port" 2
    "$sidecar" 2> "$log" &
    pid=$!
    said 'start: \|cannot listen'
    if grep -q 'start: ' "$log"; then break; fi
done
# As the fleet's bench allows: linked against the C library, no child, one thread, sockets of IPv4 alone.
readelf -l "$sidecar" | grep -q 'program interpreter' || { echo "not linked dynamically"; exit 1; }
if pgrep -P "$pid" >/dev/null || [ "$(ls /proc/"$pid"/task | wc -l)" -ne 1 ]; then echo "a child or a thread"; exit 1; fi
for inode in $(ls -l /proc/"$pid"/fd | sed -n 's/.*socket:\[\([0-9]*\)\].*/\1/p'); do
    if { awk '{print $7}' /proc/"$pid"/net/unix; cat /proc/"$pid"/net/tcp6 /proc/"$pid"/net/udp6 2>/dev/null |
        awk '{print $10}'; } | grep -qx "$inode"; then echo "a Unix or IPv6 socket"; exit 1; fi
done
config "$port" 3
kill -HUP "$pid"
said 'reloaded: .*127.0.0.1:3'
echo '{' > "$RELAY_CONFIG"
kill -HUP "$pid"
said 'reload failed, configuration unchanged'
kill -HUP "$pid"; kill -TERM "$pid"
wait "$pid"
rm -f "$log"
