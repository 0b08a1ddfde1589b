#!/usr/bin/env bash
# Exits with 1 if entry hosts go on with a former configuration, with 0 if all apply the new one, and with 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/rig3 ] && [ -x target/gatewayd ] || exit 2
target/rig3 lost-configuration "$folder/record.txt"
