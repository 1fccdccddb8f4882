#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../bin/rig" added "$here/record.txt" "$here/../../target/catkinrudder-gateway"
