"""Command line of the soak: `python -m tests.soak --seed 1`."""

import argparse
import concurrent.futures
import pathlib
import subprocess
import sys

from tests.soak import run

SHOWN = 5


def main() -> int:
    """Runs one seed, or several in processes of their own."""
    parser = argparse.ArgumentParser(prog="soak", description=run.__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--jobs", type=int, default=2, help="runs at once")
    parser.add_argument("--seconds", type=float, default=run.Size.seconds)
    parser.add_argument("--nodes", type=int, default=run.Size.nodes)
    parser.add_argument("--engines", type=int, default=run.Size.engines)
    parser.add_argument("--callers", type=int, default=run.Size.callers)
    parser.add_argument(
        "--trouble", action="store_true", help="upstreams that answer nonsense"
    )
    parser.add_argument(
        "--needs", action="store_true", help="upstreams that state needs"
    )
    parser.add_argument(
        "--deadly",
        action="store_true",
        help="a prompt part that crashes engines",
    )
    parser.add_argument(
        "--closing",
        action="store_true",
        help="answers that end with their connection, and crashes",
    )
    parser.add_argument(
        "--restores",
        action="store_true",
        help="a store that is restored from copies",
    )
    parser.add_argument(
        "--hushes",
        action="store_true",
        help="open connections that fall silent",
    )
    parser.add_argument(
        "--cuts",
        action="store_true",
        help="nodes that are cut off from all upstreams",
    )
    parser.add_argument(
        "--lags",
        action="store_true",
        help="a store whose lists come from copies of different age",
    )
    parser.add_argument(
        "--malformed",
        action="store_true",
        help="upstreams that send malformed heads",
    )
    parser.add_argument("--logs", type=pathlib.Path, help="kept on a failure")
    arguments = parser.parse_args()
    if arguments.seeds > 1:
        return run_many(arguments)
    size = run.Size(
        seconds=arguments.seconds,
        nodes=arguments.nodes,
        engines=arguments.engines,
        callers=arguments.callers,
        trouble=arguments.trouble,
        needs=arguments.needs,
        deadly=arguments.deadly,
        closing=arguments.closing,
        restores=arguments.restores,
        hushes=arguments.hushes,
        cuts=arguments.cuts,
        lags=arguments.lags,
        malformed=arguments.malformed,
    )
    soak = run.Soak(arguments.seed, size)
    try:
        found = soak.run()
        if found and arguments.logs:
            arguments.logs.mkdir(parents=True, exist_ok=True)
            path = arguments.logs / f"seed-{arguments.seed}.log"
            path.write_text(soak.read_logs())
    finally:
        soak.close()
    for violation in found[:SHOWN]:
        print(f"seed {arguments.seed}: {violation}")
    print(f"seed {arguments.seed}: {soak.summary}, {len(found)} broken")
    return 1 if found else 0


def run_many(arguments: argparse.Namespace) -> int:
    """Runs several seeds and returns 1 if any failed."""
    rest = [
        f"--{name}={getattr(arguments, name)}"
        for name in ("seconds", "nodes", "engines", "callers", "logs")
        if getattr(arguments, name) is not None
    ]

    if arguments.trouble:
        rest.append("--trouble")
    if arguments.needs:
        rest.append("--needs")
    if arguments.deadly:
        rest.append("--deadly")
    if arguments.closing:
        rest.append("--closing")
    if arguments.restores:
        rest.append("--restores")
    if arguments.hushes:
        rest.append("--hushes")
    if arguments.cuts:
        rest.append("--cuts")
    if arguments.lags:
        rest.append("--lags")
    if arguments.malformed:
        rest.append("--malformed")

    def run_one(seed: int) -> int:
        command = [sys.executable, "-m", "tests.soak", f"--seed={seed}"]
        return subprocess.run([*command, *rest], check=False).returncode

    first = arguments.seed
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        codes = list(pool.map(run_one, range(first, first + arguments.seeds)))
    failed = [first + n for n, code in enumerate(codes) if code]
    print(f"{len(codes)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
