#!/bin/sh
# Makes two variants of a site of the bench, to see that nothing is fitted to one customer. What it makes is not kept.
#
#   deploy/sites/make-variants.sh KIT/sites deploy/sites/made
#
# Each folder gets a site file with the names and the opening lines that the bench wants beside it.
#   hasty   three classes under other names, deadlines about a third as long with goals in step, and the effects moved
#           one class on: what had windows may run again, what may not be repeated comes most often. Short windows and
#           few moments to answer in are what it is hard by.
#   broad   one class more, many replicas a shard, and by far the most value in a class that may not be repeated:
#           hard by what a lost connection costs, and by how thin each mixer's share of a cold searcher is.
set -eu
from=$1
to=$2
site=$from/milano-gare.toml

place() {
    mkdir -p "$to/$1"
    for beside in real.json wire.json unlock.txt; do
        cp "$from/$beside" "$to/$1/$beside"
    done
}

place hasty
awk '
    /^\[\[class\]\]/ { class++ }
    /^name = / && class > 0 && !named[class]++ { $0 = "name = \"hasty-" class "\"" }
    /^aim_ms = / { $3 = int($3 * 0.45); $0 = "aim_ms = " $3 }
    /^deadline_ms = / { $3 = int($3 * 0.35); $0 = "deadline_ms = " $3 }
    /^(window_ms|group) = / { next }
    /^effect = / { $0 = class == 1 ? "effect = \"unsafe\"" : class == 2 ? "effect = \"safe\"" : "effect = \"keyed\"\ngroup = \"all\"\nwindow_ms = 800" }
    { print }
' "$site" > "$to/hasty/hasty.toml"

place broad
awk '
    /^\[fam\]/ {
        print "[[class]]\nname = \"broad-4\"\nshare = [0.06, 0.08]\nwork_ms = [90, 130]\ndist = \"lognormal\"\ncv = [0.2, 0.4]"
        print "attempt_noise = [0.1, 0.3]\naim_ms = 2000\ndeadline_ms = 6000\nworth = 2\nlate_worth = 0.5\neffect = \"safe\"\n"
    }
    /^\[\[trouble\]\]/ && !trouble++ { print "[[fam.class]]\nparts = 2\n" }
    /^\[\[class\]\]/ { class++ }
    /^name = / && class > 0 && !named[class]++ { $0 = "name = \"broad-" class "\"" }
    /^worth = / && class == 3 { $0 = "worth = 12" }
    /^effect = / && class == 3 { $0 = "effect = \"unsafe\"" }
    /^(window_ms|group) = / { next }
    /^replicas = / { $0 = "replicas = 6" }
    { print }
' "$site" > "$to/broad/broad.toml"
