"""Runs independent simulations of a bench side by side."""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import multiprocessing
import os
from typing import Any

MAX_WORKERS = 4


def run_all(
    function: Callable[..., Any], arguments: Iterable[tuple[Any, ...]]
) -> list[Any]:
    """Returns the results of a module's function, in order.

    Each simulation has its own seed and shares no state, so the results do
    not depend on the number of workers.

    Args:
        function: Function at the top level of a module.
        arguments: Positional arguments of each call.
    """
    workers = min(MAX_WORKERS, os.cpu_count() or 1)
    # Other benches of the run have threads, which a fork would not copy.
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(workers, context) as pool:
        started = [pool.submit(function, *items) for items in arguments]
        return [one.result() for one in started]
