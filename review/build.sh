#!/bin/sh
# The stand-ins are Python programs that need the standard library only. This checks that they compile.
cd "$(dirname "$0")" || exit 2
python3 - standin/platform_standin.py [1-3]/case.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
    print("compiled", path)
END
