#!/bin/sh
# Tests the metadata commands: creates a repository, changes it, rotates keys and signs offline; a client updates
# from it and downloads verified targets. Invalid input must be refused with one line and status 1.
set -eu
program=$1
server=$2
work=$(mktemp -d)
trap 'kill $pid 2>/dev/null; rm -rf "$work"' EXIT
pid=
cd "$work"
expect_failure() { # STATUS PATTERN COMMAND...: the exit status, and a pattern of the single error line
    status=$1 pattern=$2
    shift 2
    set +e
    output=$("$@" 2>&1 >/dev/null)
    got=$?
    set -e
    if [ $got -ne "$status" ] || ! printf '%s\n' "$output" | grep -q "$pattern" || [ "$(printf '%s\n' "$output" | wc -l)" -gt 2 ]; then
        echo "$*: status $got, output: $output"
        exit 1
    fi
}
m() { "$program" metadata "$@"; }
m create --repo repo --keys keys > /dev/null
test "$(stat -c %a keys/root.pem)" = 600
echo forty-two > 42
m add-target --repo repo --name releases/42 --file 42 --sign-with keys/targets.pem > /dev/null
m key --out keys/rel.pem --scheme ecdsa > /dev/null
m delegate --repo repo --name rel --key keys/rel.pem --path 'releases/*' --sign-with keys/targets.pem --sign-with keys/rel.pem > /dev/null
echo forty-three > 43
m add-target --repo repo --role rel --name releases/43 --file 43 --sign-with keys/rel.pem > /dev/null
m publish --repo repo --keys keys > /dev/null
"$server" repo > port &
pid=$!
until [ -s port ]; do sleep 0.05; done
url=http://localhost:$(cat port)
client() { m --metadata-dir trust --metadata-url "$url/metadata" "$@"; }
fetch() { client --target-name "$1" --target-base-url "$url/targets" --target-dir out download; }

expect_failure 1 'root: not-found' "$program" metadata --metadata-dir trust --metadata-url "$url/metadata" refresh
expect_failure 2 'metadata-dir' "$program" metadata refresh
expect_failure 1 'root: unreadable' "$program" metadata --metadata-dir trust init 42
m --metadata-dir trust init repo/metadata/1.root.json > /dev/null
client refresh > /dev/null
for file in root timestamp snapshot targets; do cmp trust/$file.json "$(ls repo/metadata/*$file.json | tail -n 1)"; done
fetch releases/42 > /dev/null
fetch releases/43 > /dev/null
fetch releases/43 | grep -q 'already exists and is verified'
cmp 43 out/releases%2F43
expect_failure 1 'releases/44: not-found' "$program" metadata --metadata-dir trust --metadata-url "$url/metadata" --target-name releases/44 \
    --target-base-url "$url/targets" --target-dir out download
expect_failure 1 'timestamp: expired' "$program" metadata --metadata-dir trust --metadata-url "$url/metadata" \
    --now "$(date -u -d '+3 days' +%Y-%m-%dT%H:%M:%SZ)" refresh
expect_failure 1 'not an RFC 3339 time' "$program" metadata --metadata-dir trust --metadata-url "$url/metadata" --now tomorrow refresh
expect_failure 1 'not an http URL' "$program" metadata --metadata-dir trust --metadata-url ftp://x refresh

# A corrupted target is refused; the original is accepted again.
stored=$(ls repo/targets/releases/*.43)
rm out/releases%2F43
echo spoilt-three > "$stored"
expect_failure 1 'wrong-length\|wrong-hash\|too-long' "$program" metadata --metadata-dir trust --metadata-url "$url/metadata" \
    --target-name releases/43 --target-base-url "$url/targets" --target-dir out download
test ! -e out/releases%2F43
cp 43 "$stored"
fetch releases/43 > /dev/null

# Rotates the root key; another key with a passphrase signs offline.
echo secret > passphrase
m key --out keys/second.pem --scheme rsa > /dev/null
m key --out keys/third.pem --passphrase-file passphrase > /dev/null
expect_failure 1 'no private key\|passphrase' "$program" metadata sign repo/draft/root.json --sign-with keys/third.pem
m sign repo/draft/root.json --sign-with keys/third.pem --passphrase-file passphrase # a signature by a key that is not listed is ignored
old=$(m inspect repo/metadata/1.root.json --json | tr -d ' \n' | sed 's/.*"root":{"keyids":\["\([0-9a-f]*\)".*/\1/')
cp repo/metadata/1.root.json repo/draft/root.json
m rotate root --repo repo --add keys/second.pem --remove "$old" --threshold 1 --sign-with keys/root.pem > /dev/null
expect_failure 1 'root: unsigned' "$program" metadata publish --repo repo --keys keys
m sign repo/draft/root.json --sign-with keys/second.pem
m publish --repo repo --keys keys > /dev/null
client refresh | grep -q 'root 2, '
# An older timestamp is refused; the trusted metadata stays.
cp trust/timestamp.json before
cp repo/metadata/timestamp.json new
m publish --repo repo --keys keys > /dev/null
client refresh > /dev/null
cp new repo/metadata/timestamp.json
expect_failure 1 'timestamp: rollback (version' "$program" metadata --metadata-dir trust --metadata-url "$url/metadata" refresh
expect_failure 1 'root: rollback' "$program" metadata --metadata-dir trust init repo/metadata/1.root.json
m inspect --root repo/metadata/root.json repo/metadata/timestamp.json | grep -q '1 good of 1 needed'
m delegate --repo repo --name bin --bins 4 --key keys/rel.pem --role rel --sign-with keys/rel.pem > /dev/null
m publish --repo repo --keys keys > /dev/null
client refresh > /dev/null
client --target-name other --target-base-url "$url/targets" --target-dir out download 2>/dev/null && exit 1
expect_failure 1 'bad-name' "$program" metadata add-target --repo repo --name ../x --file 42 --sign-with keys/targets.pem
# Uptane: partial verification of a unit's directive, the unit's report, the primary's manifest.
m create --repo director --keys dkeys > /dev/null
m add-target --repo director --name releases/42 --file 42 --sign-with dkeys/targets.pem \
    --custom '{"ecuIdentifier":"pods","hardwareId":"m2","releaseCounter":42}' > /dev/null
m publish --repo director --keys dkeys > /dev/null
verify() { m unit --director-root director/metadata/root.json --targets director/draft/targets.json --unit pods "$@"; }
verify --hardware m2 --release-counter 41 --image 42 | grep -q 'the one directed'
expect_failure 1 'wrong-unit' "$program" metadata unit --director-root director/metadata/root.json --targets director/draft/targets.json \
    --unit pods --hardware m3
expect_failure 1 'rollback' "$program" metadata unit --director-root director/metadata/root.json --targets director/draft/targets.json \
    --unit pods --hardware m2 --release-counter 43
m report --unit pods --path releases/42 --image 42 --release-counter 42 --key keys/rel.pem --out report
m manifest report --fleet register --primary n0 --key keys/second.pem --out manifest
m audit manifest --key keys/second.pem --unit-key pods=keys/rel.pem | grep -q 'pods runs releases/42'
expect_failure 1 'manifest: unsigned' "$program" metadata audit manifest --key keys/rel.pem --unit-key pods=keys/rel.pem

expect_failure 2 'required' "$program" metadata publish
"$program" --version | grep -q '^lichenlanding '
"$program" --help | grep -q serve
