# Runs a case of the stand-ins: `run_case FOLDER CASE`. Sourced by run.sh.
run_case()
{
    local folder=$1 name=$2 program work status=0
    cd "$folder/../.."
    program=$(sed -n 's/^run = "\([^ ]*\) run .*/\1/p' deploy/system.toml)
    if [ ! -x "$program" ] || [ ! -x target/review-2/world ]
    then
        echo "build the deploy file's program and review/build-2.sh first" >&2
        exit 2
    fi
    work=$(mktemp -d)
    timeout -k 2 115 target/review-2/world "$name" "$program" \
        deploy/settings.template.yaml "$work" "$folder/record.txt" || status=$?
    if [ -n "${KEEP_LOGS:-}" ]
    then
        echo "logs: $work"
    else
        rm -rf "$work"
    fi
    # Only 0 and 1 are verdicts.
    [ "$status" -le 1 ] || status=2
    exit "$status"
}
