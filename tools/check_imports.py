"""Checks that code imports modules and not the names inside them."""

import ast
import importlib.util
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE_FOLDERS = ("sycamorehollow", "tests", "tools", "benches")
# The Google guide exempts these modules from its module-import rule.
EXEMPT_MODULES = ("typing", "collections.abc", "typing_extensions")


def is_module(name: str) -> bool:
    """Tells whether a dotted name is an importable module."""
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def find_name_imports(path: pathlib.Path) -> list[str]:
    """Returns one line for each import of a name instead of a module."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    faults = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.module in EXEMPT_MODULES:
            continue
        for alias in node.names:
            if is_module(f"{node.module}.{alias.name}"):
                continue
            faults.append(
                f"{path.relative_to(ROOT)}:{node.lineno}: imports the name"
                f" {alias.name} from {node.module}; import the module"
            )
    return faults


def main() -> int:
    """Prints every fault and returns the exit status."""
    sys.path.insert(0, str(ROOT))
    faults = []
    for folder in SOURCE_FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if "_pb2" in path.name:
                continue
            faults.extend(find_name_imports(path))
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
