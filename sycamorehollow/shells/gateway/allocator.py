"""Configures the C library's memory allocator."""

import ctypes

import loguru

# Blocks from this size have a mapping of their own, which is returned to the
# system when it is freed, and grows without a copy. The buffer of asyncio's
# reads (256 KB) has to be smaller: a mapping for each read took 0.1 ms more per
# request.
MMAP_THRESHOLD_BYTES = 512 * 1024
# Free memory at the end of the heap that is kept, so that the heap does not
# shrink and grow with each read.
TRIM_THRESHOLD_BYTES = 2 * 1024 * 1024
# Parameters of mallopt() in malloc.h.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3


def configure() -> None:
    """Fixes the size from which blocks have a mapping of their own.

    By default the C library raises it up to 32 MB as blocks are freed. Large
    bodies then fragment the heap, and their memory is not returned.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        loguru.logger.info("the allocator cannot be configured: {}", error)
        return
    for parameter, value in (
        (_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
        (_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
    ):
        if not mallopt(parameter, value):
            loguru.logger.info("the allocator rejects parameter {}", parameter)
