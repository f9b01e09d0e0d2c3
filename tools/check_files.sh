#!/bin/sh
# Names of files are lower_case; a file of src/ has at most 400 lines, unless tools/long_files.txt names it with a
# greatest length and a reason ("path lines reason"). An entry that isn't needed any more is a failure as well.
set -eu
cd "$(dirname "$0")/.."
most=400
bad=0
for file in $(find src tests bench -name '*.[ch]pp'); do
    case ${file##*/} in
    *[!a-z0-9_.]*) echo "$file: the name is not lower_case"; bad=1 ;;
    esac
done
for file in $(find src -name '*.[ch]pp'); do
    lines=$(wc -l <"$file")
    allowed=$(awk -v file="$file" '$1 == file { print $2 }' tools/long_files.txt)
    if [ -z "$allowed" ] && [ "$lines" -gt $most ]; then
        echo "$file: $lines lines, more than $most"
        bad=1
    elif [ -n "$allowed" ] && [ "$lines" -gt "$allowed" ]; then
        echo "$file: $lines lines, more than the $allowed of tools/long_files.txt"
        bad=1
    elif [ -n "$allowed" ] && [ "$lines" -le $most ]; then
        echo "tools/long_files.txt: $file has $lines lines: no exception any more"
        bad=1
    fi
done
while read -r file lines reason; do
    case $file in '' | \#*) continue ;; esac
    [ -f "$file" ] || { echo "tools/long_files.txt: no $file"; bad=1; }
    [ -n "$reason" ] || { echo "tools/long_files.txt: no reason for $file"; bad=1; }
done <tools/long_files.txt
exit $bad
