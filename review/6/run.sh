#!/bin/sh
# Runs the case PropertyCrowd: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
if [ ! -f "$root/target/review-2/PropertyCrowd.class" ] || [ ! -f "$root/target/sandstack.jar" ]; then
    echo "not built: run the build command of deploy/balancer.toml, then review/build-2.sh" | tee "$folder/record.txt"
    exit 2
fi
cd "$root" || exit 2
exec java --add-opens java.base/sun.nio.ch=ALL-UNNAMED -cp "target/review-2:target/lib/*" PropertyCrowd "$root" "$folder"
