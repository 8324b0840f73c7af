"""Configures the C library's memory allocator."""

import ctypes

import loguru

# Blocks from this size have a mapping of their own, which is returned to the
# system when it is freed, and grows without a copy.
MMAP_THRESHOLD_BYTES = 256 * 1024
# Parameter of mallopt() in malloc.h.
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
    if not mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES):
        loguru.logger.info("the allocator rejects the mapping threshold")
