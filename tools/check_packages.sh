#!/bin/sh
# Whether the packages that a deploy file lists are those that a clean build of it needs, no fewer and no more.
#
#   tools/check_packages.sh DEPLOY.toml [BUILT_DIR]
#
# Runs the file's `build` on a scratch copy (or takes a directory that was built so), then asks dpkg which packages hold
# the headers of the dependency files, the libraries linked and the tools that CMake found, and apt-cache whether the
# listed packages bring them. Debian only; takes as long as the build, so it is run by hand before a deploy file changes.
set -eu
cd "$(dirname "$0")/.."
deploy=${1:?tools/check_packages.sh DEPLOY.toml [BUILT_DIR]}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
if [ $# -gt 1 ]; then
    built=$2
else
    cp -r CMakeLists.txt src "$scratch"
    command=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$deploy")
    (cd "$scratch" && sh -c "$command") >"$scratch/log" 2>&1 || { tail "$scratch/log"; exit 2; }
    built=$(dirname "$(find "$scratch" -name CMakeCache.txt)")
fi
packages=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$deploy" | tr -d '",')

# What the build has touched outside the tree.
{
    find "$built" -name '*.d' -exec cat {} + | tr ' ' '\n' | grep '^/usr/'
    find "$built" -name link.txt -exec cat {} + | tr ' ' '\n' | grep -E '^/usr/.*\.(so|a)' || true
    find "$built" -name link.txt -exec cat {} + | tr ' ' '\n' | sed -n 's/^-l\(.*\)/\1/p' | sort -u |
        while read -r library; do g++ -print-file-name="lib$library.so"; done
    # Tools, and the folders of packages' CMake files.
    sed -n 's/^\(CMAKE_CXX_COMPILER\|CMAKE_MAKE_PROGRAM\|CMAKE_COMMAND\|PKG_CONFIG_EXECUTABLE\):[A-Z]*=\(\/.*\)/\2/p' \
        "$built/CMakeCache.txt"
    sed -n 's/^[A-Za-z0-9_]*_DIR:PATH=\(\/usr\/.*\/cmake\/.*\)/\1/p' "$built/CMakeCache.txt"
} | grep '^/' | sort -u | while read -r path; do
    # A link is asked for by its own name (-dev packages hold lib*.so), save c++ and such of update-alternatives.
    case $path in /usr/bin/*) readlink -f "$path" ;; *) realpath -s "$path" ;; esac
done | sort -u >"$scratch/paths"
xargs -a "$scratch/paths" dpkg -S 2>"$scratch/unknown" | sed 's/: .*//; s/, /\n/g; s/:[a-z0-9]*$//' | sort -u >"$scratch/used"

closure() {
    apt-cache depends --recurse --no-recommends --no-suggests --no-conflicts --no-breaks --no-replaces --no-enhances \
        --installed "$@" | grep -E '^[a-z0-9]' | sed 's/:[a-z0-9]*$//' | sort -u
}
dpkg-query -W -f '${Package} ${Essential} ${Priority}\n' | awk '$2 == "yes" || $3 == "required" { print $1 }' | sort -u >"$scratch/base"
uncovered() {
    closure "$@" | sort -u - "$scratch/base" >"$scratch/brought"
    comm -23 "$scratch/used" "$scratch/brought"
}

verdict=0
all=$(uncovered $packages | wc -l)
for package in $(uncovered $packages); do
    echo "$deploy: $package is needed and not listed"
    verdict=1
done
for package in $packages; do
    rest=$(echo "$packages" | tr ' ' '\n' | grep -vxF "$package")
    # Needed: without it something more is missing.
    if [ "$(uncovered $rest | wc -l)" -eq "$all" ]; then
        echo "$deploy: $package is listed, and the build needs nothing of it"
        verdict=1
    fi
done
[ -s "$scratch/unknown" ] && sed "s/^/of no package: /" "$scratch/unknown"
[ $verdict = 0 ] && echo "$deploy: its packages are those that the build needs ($(wc -l <"$scratch/used") used)"
exit $verdict
