"""Runs the benchmarks named on the command line, or all of them."""

import importlib
import sys

from benchmarks import report

NAMES = ("two_hops", "policy", "slopes", "pulls")


def main():
    """Run benchmarks; the exit code tells whether every bound is kept."""
    kept = True
    for name in sys.argv[1:] or NAMES:
        print(f"\n## {name}\n", flush=True)
        module = importlib.import_module(f"benchmarks.{name}")
        kept = report.show(module.measure()) and kept
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
