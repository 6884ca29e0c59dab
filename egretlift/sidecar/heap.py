"""Settings of the heap of the C library."""

import ctypes

# Parameter of ``mallopt`` in glibc.
M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 64 * 1024


def return_large_blocks():
    """Return blocks of ``MAPPED_BYTES`` or more to the system when they are freed.

    Otherwise glibc raises this size, up to 32 MiB, after the first large block that is
    freed. Later ones lie in its heap, and leave holes there that small blocks keep from
    being returned. C libraries without the setting are left as they are.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return
    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
