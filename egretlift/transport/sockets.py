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
# State of a connection whose peer has closed its side, from ``tcp_states.h`` of Linux.
TCP_CLOSE_WAIT = 8
# Value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def find_end_error(transport):
    """Return why the end of a connection is no orderly close, "" if it is one.

    The pending error alone does not tell: a failed write, or another reader of it, may
    have taken it. The state does, as only a peer's close leads to ``TCP_CLOSE_WAIT``.
    """
    sock = transport.get_extra_info("socket")
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        return errno.errorcode.get(code, str(code))
    state = read_state(sock)
    return "" if state in (None, TCP_CLOSE_WAIT) else f"state {state}"


def read_state(sock):
    """Return the state of a TCP connection, None if the system does not tell.

    It is the first byte of ``struct tcp_info``; see ``tcp(7)``.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return None
    return info[0] if info else None


def count_unsent(transport):
    """Return how many written bytes the peer has not acknowledged.

    Bytes that the transport still holds count too; those of the kernel are 0 if the
    system does not tell.
    """
    sock = transport.get_extra_info("socket")
    return transport.get_write_buffer_size() + read_count(sock, termios.TIOCOUTQ)


def count_unread(transport):
    """Return how many received bytes the kernel has that nobody has read yet.

    0 if the system does not tell.
    """
    return read_count(transport.get_extra_info("socket"), termios.FIONREAD)


def read_count(sock, request):
    """Return the number that an ``ioctl`` request tells of a socket, 0 if it fails."""
    try:
        (count,) = struct.unpack("i", fcntl.ioctl(sock, request, struct.pack("i", 0)))
    except OSError:
        return 0
    return count


def reset_connection(transport):
    """Close a connection with a reset, so that the peer takes nothing for whole.

    What was written and not sent yet is lost.
    """
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


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
