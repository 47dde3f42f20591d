"""Runs the benchmarks named on the command line, or all of them."""

import importlib
import sys

from benchmarks import report

BENCHMARKS = (
    "two_hops",
    "request_cpu",
    "pipelining",
    "policy",
    "starts",
    "slopes",
    "pulls",
)


def main():
    """Run benchmarks and exit with 0 if every bound is kept, else with 1."""
    all_within_bounds = True
    for name in sys.argv[1:] or BENCHMARKS:
        print(f"\n## {name}\n", flush=True)
        module = importlib.import_module(f"benchmarks.{name}")
        all_within_bounds = (
            report.print_table(module.measure()) and all_within_bounds
        )
    sys.exit(0 if all_within_bounds else 1)


if __name__ == "__main__":
    main()
