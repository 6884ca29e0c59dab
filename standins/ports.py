"""Allocation of free ports of 127.0.0.1 for processes that start later."""

import random
import socket

BLOCK_PORTS = 50
# Below 32768, where the ephemeral ports of Linux begin: an outgoing connection could
# otherwise occupy a port while its process is restarted.
FIRST_PORT, LAST_PORT = 10000, 32000


class PortBlocks:
    """Port blocks that are reserved for one mesh until `release_ports`.

    Attributes
    ----------
    lock_sockets : list of socket.socket
        Bound to the first port of each block.
    free_ports : list of int
        Reserved ports that have not been allocated.
    """

    __slots__ = ("free_ports", "lock_sockets")

    def __init__(self):
        self.lock_sockets = []
        self.free_ports = []


def is_port_free(port):
    """Return whether a process could listen on a port now."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def reserve_block(blocks, base):
    """Reserve the block that starts at port ``base``; return False if it is in use.

    The first port of a block stays bound as a lock, so that meshes of other test
    processes do not reserve the same block.
    """
    lock = socket.socket()
    try:
        lock.bind(("127.0.0.1", base))
    except OSError:
        lock.close()
        return False
    ports = range(base + 1, base + BLOCK_PORTS)
    if not all(map(is_port_free, ports)):
        lock.close()
        return False
    blocks.lock_sockets.append(lock)
    blocks.free_ports.extend(ports)
    return True


def allocate_port(blocks):
    """Return a port that no other mesh uses.

    Raises OSError if no block of ports is free.
    """
    bases = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS, BLOCK_PORTS))
    random.SystemRandom().shuffle(bases)
    while not blocks.free_ports:
        if not bases:
            raise OSError(f"no free block of {BLOCK_PORTS} ports; stop unused meshes")
        reserve_block(blocks, bases.pop())
    return blocks.free_ports.pop(0)


def release_ports(blocks):
    """Release all blocks, so that other meshes can reserve them."""
    while blocks.lock_sockets:
        blocks.lock_sockets.pop().close()
    blocks.free_ports.clear()
