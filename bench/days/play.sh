#!/bin/sh
# Plays generated days on a deployment and lists what broke, with seed and rule. Run at the repository's root.
#
#   bench/days/play.sh BENCH SITE.toml FOLDER SEED DAYS [options of generate...]
#
# BENCH is the operators' bench, SITE.toml a site file, FOLDER a scratch folder outside the repository: copies
# of the site file with the days in place of its own, the bench's output, and each day that broke go there.
# JOBS (8), CHUNK (days per call, 24) and LOCK (a file held during each call) come from the environment.
set -eu
bench=$1 site=$2 folder=$3 seed=$4 days=$5
shift 5
tool=${GENERATE:-$folder/generate}
here=$(dirname "$0")
mkdir -p "$folder"
[ -x "$tool" ] || g++ -std=c++20 -O2 -o "$tool" "$here/generate.cpp"
name=$(basename "$site" .toml)
cp -f "$(dirname "$site")/wire.json" "$folder/"
first=0 broken=0
while [ "$first" -lt "$days" ]; do
    count=$((days - first))
    [ "$count" -le "${CHUNK:-24}" ] || count=${CHUNK:-24}
    copy=$folder/$name-$seed-$first
    cp -f "$(dirname "$site")/$name.days" "$copy.days"
    # The site as it is, up to its first own day.
    sed '/^\[\[day\]\]/,$d' "$site" > "$copy.toml"
    "$tool" --seed "$seed" --first "$first" --days "$count" "$@" >> "$copy.toml"
    ${LOCK:+flock "$LOCK"} "$bench" score "$copy.toml" --jobs "${JOBS:-8}" \
        --why "generated days $seed-$first to $seed-$((first + count - 1)) on $name${WHY:+: $WHY}" > "$copy.txt" 2>&1 ||
        echo "$name: the bench ended with $?, see $copy.txt"
    played=$(grep "^core-$seed-" "$copy.txt" | grep -vc "is played" || true)
    [ "$played" -eq "$count" ] || echo "$name: $played of $count days in $copy.txt"
    # A day fails by a rule (BROKEN) or a fault; what the gate says of it stands behind its figures.
    grep -E "^core-$seed-.*(BROKEN|FAULT|fault|given up|not acked|ack)" "$copy.txt" > "$copy.broken" || true
    sed "s/^/$name: /; s/  weakest part.*BROKEN/ BROKEN/" "$copy.broken"
    while read -r day rest; do
        "$tool" --seed "$seed" --first "${day##*-}" --days 1 "$@" > "$folder/$name-$day.toml"
        broken=$((broken + 1))
    done < "$copy.broken"
    grep -E '^GATE' "$copy.txt" | sed "s/^/$name $seed-$first: /" || true
    first=$((first + count))
done
echo "$name: seed $seed, $days days played, $broken broken"
