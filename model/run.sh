#!/usr/bin/env bash
# Checks every model and refutes every mutant. A model in which the checker finds
# a fault, or a mutant in which it finds none, fails the run.
#
# "whole" means that every reachable state was looked at; "bounded" that the
# search, breadth first, went as deep as the memory allowed.
set -uo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Three checks run at a time, each within its memory.
parallel=3

# check NAME MODEL EXPECT MEMORY_MB FLAGS...
check() {
  while [ "$(jobs -rp | wc -l)" -ge "$parallel" ]; do wait -n; done
  one "$@" >"$work/$(echo "$1" | tr / _).line" &
}

one() {
  local name=$1 model=$2 expect=$3 memory=$4
  shift 4
  local dir="$work/$name"
  mkdir -p "$dir"
  cp "$model.pml" "$dir/"
  cd "$dir" || exit 1
  spin -a "$@" "$model.pml" >spin.out 2>&1
  gcc -O2 -DSAFETY -DBFS -DHC4 -DNOFAIR -DMEMLIM="$memory" -o pan pan.c >gcc.out 2>&1 || cat spin.out gcc.out
  ./pan -w22 >pan.out 2>&1
  local states depth found=none extent=whole
  states=$(grep -oE '[0-9.e+]+ states, stored' pan.out | head -1)
  depth=$(grep -oE 'depth reached [0-9]+' pan.out | head -1)
  grep -q 'assertion violated' pan.out && found=fault
  grep -q 'reached -DMEMLIM' pan.out && extent=bounded
  [ "$found" = fault ] && extent=refuted
  printf '%-34s %-9s %-28s %s\n' "$name" "$extent" "$states" "$depth"
  if [ "$found" != "$expect" ] || [ -z "$states" ]; then
    echo "FAILED: $name: expected $expect"
  fi
}

small="-DREBOOTS=0 -DATTEMPTS=2 -DWITHOUT_LOSS -DWITHOUT_FINISH"

check lease/one-leader        lease none  1500 -DCLAIMS=1 -DREBOOTS=1 -DATTEMPTS=2 -DWITHOUT_EVICTION -DWITHOUT_FINISH
check lease/one-leader-billed lease none  1500 -DCLAIMS=1 -DREBOOTS=1 -DATTEMPTS=2 -DWITHOUT_EVICTION -DWITHOUT_FINISH -DNOT_REPEATABLE
check lease/two-leaders       lease none  1500 $small
check lease/two-leaders-all   lease none  1500 -DREBOOTS=1 -DATTEMPTS=2
check lease/long-lease        lease none  1500 $small -DLEASE=2 -DTENURE=2
check lease/no-tenure-wait    lease fault 2500 $small -DWITHOUT_EVICTION -DNO_TENURE_WAIT
check lease/no-cap            lease fault 2500 $small -DWITHOUT_EVICTION -DLEASE=2 -DTENURE=2 -DNO_CAP
check lease/no-epoch          lease fault 2500 $small -DNO_EPOCH
check lease/no-lapse          lease fault 2500 $small -DWITHOUT_EVICTION -DNO_LAPSE
check lease/no-sequence       lease fault 2500 -DREBOOTS=0 -DATTEMPTS=2 -DNO_SEQUENCE
check lease/no-commit-first   lease fault 2500 -DREBOOTS=0 -DATTEMPTS=2 -DNO_COMMIT_FIRST
check lease/no-recorded       lease fault 2500 -DREBOOTS=0 -DATTEMPTS=2 -DNO_RECORDED
check lease/no-registration   lease fault 2500 -DREBOOTS=1 -DATTEMPTS=2 -DNO_REGISTRATION
check lease/no-incarnation    lease fault 2500 -DREBOOTS=1 -DATTEMPTS=2 -DNO_INCARNATION

check crash/all               crash none  500
check crash/late-deaths       crash none  500 -DEARLY=0 -DLATE=6
check crash/two-early-deaths  crash none  500 -DEARLY=2 -DLATE=0
check crash/early-deaths      crash fault 500 -DEARLY=3
check crash/no-record         crash fault 500 -DNO_RECORD
check crash/no-mark           crash fault 500 -DEARLY=0 -DLATE=6 -DNO_MARK
check crash/no-gate           crash fault 500 -DEARLY=0 -DLATE=6 -DNO_GATE

check cell/all                cell none  2500 -DEPOCHS=2 -DRUNS=2
check cell/more               cell none  2000
check cell/no-fence           cell fault 1500 -DNO_FENCE
check cell/no-settling        cell fault 1500 -DNO_SETTLING
check cell/no-lease-wait      cell fault 1500 -DNO_LEASE_WAIT
check cell/no-confirmation    cell fault 1500 -DNO_CONFIRMATION
check cell/no-recorded        cell fault 1500 -DNO_RECORDED
check cell/no-roster          cell fault 1500 -DNO_ROSTER
check cell/no-settling-confirmation  cell fault 2500 -DNO_SETTLING_CONFIRMATION
check cell/no-incarnation     cell fault 1500 -DNO_INCARNATION

check cell/same-id-all        cell none  2500 -DSAME_ID -DEPOCHS=2 -DRUNS=2
check cell/same-id            cell none  2000 -DSAME_ID
check cell/same-id-unbound    cell fault 1500 -DSAME_ID -DNO_INCARNATION
check cell/same-id-no-life    cell fault 1500 -DSAME_ID -DNO_LIFE_CONFIRMATION

check cell/inventory-all      cell none  2500 -DINVENTORY -DEPOCHS=2 -DRUNS=2
check cell/inventory          cell none  2000 -DINVENTORY
check cell/inventory-asked-early     cell fault 1500 -DINVENTORY -DNO_ASKED_AFTER -DEPOCHS=2 -DRUNS=2
check cell/inventory-no-delay        cell fault 1500 -DINVENTORY -DNO_LISTING_DELAY -DEPOCHS=2 -DRUNS=2
check cell/inventory-no-confirmation cell fault 1500 -DINVENTORY -DNO_LIST_CONFIRMATION -DEPOCHS=2 -DRUNS=2
check cell/inventory-same-id-all     cell none  2500 -DINVENTORY -DSAME_ID -DEPOCHS=2 -DRUNS=2
check cell/inventory-same-id         cell none  2000 -DINVENTORY -DSAME_ID
check cell/inventory-no-age-of-life  cell fault 1500 -DINVENTORY -DSAME_ID -DNO_AGE_OF_LIFE -DEPOCHS=2 -DRUNS=2

check cancel/all              cancel none  500
check cancel/no-tombstone     cancel fault 500 -DNO_TOMBSTONE
check cancel/no-condition     cancel fault 500 -DNO_CONDITION
check cancel/no-answer        cancel fault 500 -DNO_ANSWER
check cancel/no-lifetime      cancel fault 500 -DNO_LIFETIME
check cancel/no-version       cancel fault 500 -DNO_VERSION

check request/all             request none  2500
check request/no-ask          request fault 2500 -DNO_ASK
check request/no-promise      request fault 2500 -DNO_PROMISE
check request/no-age          request fault 2500 -DNO_AGE
check request/no-sent-mark    request fault 2500 -DNO_SENT_MARK

check settings/all            settings none  1500
check settings/no-condition   settings fault 1500 -DNO_CONDITION
check settings/no-edit-id     settings fault 1500 -DNO_EDIT_ID
check settings/no-monotonic   settings fault 1500 -DNO_MONOTONIC

wait
cat "$work"/*.line
if grep -q FAILED "$work"/*.line; then
  echo "a model check failed"
  exit 1
fi
echo "all models hold, all mutants are refuted"
