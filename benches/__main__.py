"""Runs every bench module and fails when one misses its bound.

A miss that `KNOWN-RED.txt` lists with a line `bench: <name of the figure>` is
printed and does not change the exit status.
"""

import argparse
import importlib
import pkgutil
import sys

import benches
from benches import results
from tools import known_red


def read_results(only: str) -> list[results.Result]:
    """Runs the bench modules in name order."""
    found = []
    for info in pkgutil.iter_modules(benches.__path__):
        if not info.name.startswith("bench_") or only not in info.name:
            continue
        module = importlib.import_module(f"benches.{info.name}")
        for result in module.run():
            print(result, flush=True)
            found.append(result)
    return found


def main() -> int:
    """Runs the benches and returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m benches")
    parser.add_argument(
        "only", nargs="?", default="", help="part of a bench module's name"
    )
    found = read_results(parser.parse_args().only)
    known = known_red.read_known_red(
        known_red.KNOWN_RED, known_red.BENCH_PREFIX
    )
    missed = 0
    red = 0
    for result in found:
        if result.held:
            continue
        if result.name in known:
            print(f"known red, still missed: {result.name}")
            red += 1
            continue
        missed += 1
    print(f"{red} known red")
    print(f"{len(found) - missed - red} passed, {missed} failed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
