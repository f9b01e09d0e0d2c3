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
