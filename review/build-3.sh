#!/bin/sh
# The stand-ins of the scripts in 11 to 15 (standins-3/) are plain JavaScript modules that Node.js runs as they are: nothing
# is built. This checks that each module can be read.
cd "$(dirname "$0")" || exit 1
for file in standins-3/*.mjs 1[1-5]/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file" || exit 1
done
