#!/usr/bin/env bash
# Plays a case: the class of its play, and its folder, into which the record goes. Exits as the play does: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
class=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
if [ ! -f "target/review/review/$class.class" ] || [ ! -f target/entry/trefoilpost-platform.jar ]; then
    echo "run bash deploy/build and bash review/build.sh first" >&2
    exit 2
fi
exec java -Xmx512m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 \
    -Dsun.net.httpserver.idleInterval=300 -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp "target/review:target/entry/*" review.Case "$class" "$folder/record.txt"
