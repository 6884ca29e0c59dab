"""Options of sockets, and what the kernel knows of a connection."""

import errno
import fcntl
import select
import socket
import struct
import termios

# A connection is closed when sent bytes stay unacknowledged, or the keepalive probes of
# an idle connection unanswered, for this long.
USER_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def read_socket_error(transport):
    """Return the name of the pending error of a socket, "" if there is none."""
    sock = transport.get_extra_info("socket")
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return errno.errorcode.get(code, str(code)) if code else ""


def count_unread(transport):
    """Return how many received bytes the kernel has that nobody has read yet.

    0 if the system does not tell.
    """
    sock, count = transport.get_extra_info("socket"), struct.pack("i", 0)
    try:
        (unread,) = struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, count))
    except OSError:
        return 0
    return unread


def make_poll(sock):
    """Return a poll object that tells whether a socket can be read."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return poll


def set_socket_options(sock):
    """Disable Nagle's algorithm, and detect an unreachable peer within seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
