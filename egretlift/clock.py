"""Clock for leases, deadlines and timeouts.

It keeps running while the machine is suspended, so leases and permissions also expire
during a suspension. Changes of the system's wall time do not affect it.
"""

import time


def read_clock():
    """Return the seconds since the machine started, including suspended time.

    Examples
    --------
    >>> read_clock() <= read_clock()
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
