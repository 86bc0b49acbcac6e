# Runs one play of a case; sourced by the run.sh of each case.
#
# usage: play ARGUMENT...
# The exit status is that of the stand-ins: 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
number=$(basename "$folder")
program=$root/target/gooseberrydrum
stand_ins=$root/review/build/case-$number
record=$folder/record.txt
temporary=$(mktemp -d) || exit 2
child=
trap 'rm -rf "$temporary"' EXIT
trap '[ -z "$child" ] || kill "$child" 2>/dev/null; wait; exit 2' INT TERM
rm -f "$record"
for file in "$program" "$stand_ins"; do
  [ -x "$file" ] || { echo "$file is missing; build it first" >&2; exit 2; }
done

play () {
  "$stand_ins" "$program" "$record" "$temporary" "$@" &
  child=$!
  result=0
  wait "$child" || result=$?
  child=
  return "$result"
}

show () {
  grep RESULT "$record" >&2
}
