"""Runs every bench module and fails when one misses its bound."""

import importlib
import pkgutil
import sys

import benches


def main() -> int:
    """Runs the benches in name order and returns the exit status."""
    missed = 0
    ran = 0
    for info in pkgutil.iter_modules(benches.__path__):
        if not info.name.startswith("bench_"):
            continue
        module = importlib.import_module(f"benches.{info.name}")
        for result in module.run():
            ran += 1
            missed += 0 if result.held else 1
            print(result)
    print(f"{ran - missed} passed, {missed} failed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
