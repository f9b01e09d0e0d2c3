#!/bin/sh
# All static checks of src/ and tests/, as `make lint` and CI run them: format, names and lengths of files, cppcheck,
# clang-tidy.
#
#   tools/lint.sh BUILD_DIR [SOURCE...]
#
# BUILD_DIR was configured with -DLICHENLANDING_TESTS=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON. With sources, clang-tidy
# looks at these alone. JOBS: how many run at once (all cores unless told). Each translation unit's full output is kept
# in BUILD_DIR/lint/.
set -eu
cd "$(dirname "$0")/.."
build=${1:?tools/lint.sh BUILD_DIR [SOURCE...]}
shift
jobs=${JOBS:-$(nproc)}
tidy=${CLANG_TIDY:-clang-tidy-16}
out=$build/lint
failed=

fail() {
    failed="$failed $1"
    echo "lint: $1 failed" >&2
}

[ -f "$build/compile_commands.json" ] || { echo "lint: no $build/compile_commands.json" >&2; exit 2; }
rm -rf "$out"
mkdir -p "$out"

echo "lint: clang-format"
find src tests bench -name '*.[ch]pp' -print0 | xargs -0 clang-format --dry-run -Werror || fail clang-format

echo "lint: files"
sh tools/check_files.sh || fail files

echo "lint: cppcheck"
cppcheck -j "$jobs" --quiet --std=c++20 --error-exitcode=1 --enable=warning,performance,portability --inline-suppr \
    --suppressions-list=tools/cppcheck.suppressions -Isrc src tests || fail cppcheck

# The database is g++'s: clang knows neither of these two flags. Its names of coroutines' feature are told to
# libstdc++ 12 and Asio 1.74, which ask for g++'s.
sed 's/ -fcoroutines//; s/ -Wno-restrict//' "$build/compile_commands.json" >"$out/compile_commands.json"

# The longest come first, so that no job is left alone with one at the end; a size stands for the time.
grep -o '"file": "[^"]*"' "$out/compile_commands.json" | cut -d '"' -f 4 | sort -u >"$out/built"
if [ $# -gt 0 ]; then
    for source in "$@"; do readlink -f "$source"; done >"$out/units"
else
    grep -E "^$PWD/(src|tests)/" "$out/built" | xargs ls -S >"$out/units"
    find "$PWD/src" "$PWD/tests" -name '*.cpp' | sort | comm -23 - "$out/built" >"$out/unbuilt"
    if [ -s "$out/unbuilt" ]; then
        sed 's/$/: in no target, so not checked/' "$out/unbuilt" >&2
        fail "clang-tidy (files in no target)"
    fi
fi

echo "lint: clang-tidy on $(wc -l <"$out/units") translation units, $jobs at once"
cat >"$out/one.sh" <<'ONE'
name=$(echo "${3#"$PWD/"}" | tr / _)
"$1" --quiet -p "$2" --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-Wno-builtin-macro-redefined \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT --export-fixes="$2/$name.yaml" "$3" >"$2/$name.log" 2>"$2/$name.err" ||
    echo "$name" >>"$2/failed"
ONE
xargs -a "$out/units" -P "$jobs" -I{} sh "$out/one.sh" "$tidy" "$out" {}
if [ -f "$out/failed" ]; then
    # A finding in a header comes with each unit that includes it: told once.
    (cd "$out" && sort failed | sed 's/$/.log/' | xargs cat) | grep -E ': (error|warning): |^error: ' | sort -u >"$out/findings" || true
    cat "$out/findings"
    # A unit that ended without a finding broke down: its own words.
    sort "$out/failed" | while read -r name; do
        [ -s "$out/$name.log" ] || tail -n 5 "$out/$name.err"
    done
    echo "lint: clang-tidy: $(wc -l <"$out/findings") findings in $(wc -l <"$out/failed") translation units" >&2
    fail clang-tidy
fi

if [ -n "$failed" ]; then
    echo "lint: FAILED:$failed" >&2
    exit 1
fi
echo "lint: passed (clang-format, files, cppcheck, clang-tidy on $(wc -l <"$out/units") translation units)"
