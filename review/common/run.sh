# Runs the module of one case with the packages of the deploy file's build.
# Usage, from a run.sh: . ../common/run.sh; run_case NAME_OF_FOLDER
run_case() {
    here=$(cd "$(dirname "$0")" && pwd)
    root=$(cd "$here/../.." && pwd)
    [ -d "$root/target/deps/cactusshed" ] || { echo "not built" >&2; exit 2; }
    cd "$root" || exit 2
    PYTHONPATH="$root/target/deps:$root/review" PYTHONDONTWRITEBYTECODE=1 \
        exec python3 "$here/case.py" "$here"
}
