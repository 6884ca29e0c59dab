"""Crowds of clients that send without end, stop short of an end, or read nothing.

A client runs on a plain socket, so that it holds no more than the kernel does, whatever
it has to send.
"""

import asyncio
import contextlib
import socket

from standins.sidecars import KEY

MEBIBYTE = 1024 * 1024
CHUNK_BYTES = 64 * 1024
# Longest time for a crowd to send what it has; clients that nobody reads stay blocked.
SETTLE_TIMEOUT_S = 20.0
# Receive buffer of a client, so that unread answers soon lie with the daemon.
RECEIVE_BYTES = 4096


def make_head(method="POST", path="/view/1", key=KEY, extra=""):
    """Return the bytes of a request head; ``extra`` holds whole header lines."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: m.example\r\nX-Request-Id: crowd\r\n"
        f"X-Deadline-Ms: 60000\r\nAuthorization: Token {key}\r\n{extra}\r\n"
    ).encode()


def encode_chunk(data):
    r"""Return a chunk of a chunked body.

    Examples
    --------
    >>> encode_chunk(b"ab")
    b'2\r\nab\r\n'
    """
    return b"%x\r\n%s\r\n" % (len(data), data)


def send_chunks(size, count, repeat=1, pause_s=0.0, **head):
    """Return the parts of a chunked body that stops short of its end.

    Parameters
    ----------
    size : int
        Bytes of a chunk.
    count, repeat : int
        The body has ``count`` parts of ``repeat`` chunks each.
    pause_s : float
        Pause after each part, in seconds.
    **head
        See `make_head`.
    """
    part = encode_chunk(b"c" * size) * repeat
    first = make_head(extra="Transfer-Encoding: chunked\r\n", **head)
    return [(first, 0.0), *[(part, pause_s)] * count]


def send_length(stated, sent, **head):
    """Return the parts of a body of a stated length, of which ``sent`` bytes come."""
    first = make_head(extra=f"Content-Length: {stated}\r\n", **head)
    data = b"l" * min(sent, MEBIBYTE)
    return [(first, 0.0), *[(data, 0.0)] * (sent // len(data))]


def send_open_head(lines, size):
    """Return a request head without its end, of ``lines`` headers of ``size`` bytes."""
    head = make_head()[:-2]
    return [(head + b"".join(b"A: %s\r\n" % (b"h" * size) for _ in range(lines)), 0.0)]


def send_requests(count, method="GET", path="/view/1"):
    """Return ``count`` requests without a body, sent behind each other."""
    return [(make_head(method, path) * count, 0.0)]


class Client:
    """One client of a crowd.

    Attributes
    ----------
    sock : socket.socket
    has_sent : bool
        Whether everything was sent.
    is_closed : bool
        Whether the connection could not be opened, or was closed by the daemon.
    """

    __slots__ = ("has_sent", "is_closed", "sock")

    def __init__(self):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.has_sent = False
        self.is_closed = False


async def run_client(client, port, parts):
    """Connect a client and send its parts; nothing is read."""
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(client.sock, ("127.0.0.1", port))
        for data, pause_s in parts:
            await loop.sock_sendall(client.sock, data)
            await asyncio.sleep(pause_s)
        client.has_sent = True
    except OSError:
        client.is_closed = True


@contextlib.asynccontextmanager
async def gather_crowd(port, count, parts, settle_s=SETTLE_TIMEOUT_S):
    """Open a crowd of clients, and close them at the end of the context.

    The context begins once each client has sent its parts or was closed, and after
    ``settle_s`` at the latest, as a client may not be read any more.
    """
    clients = [Client() for _ in range(count)]
    tasks = [asyncio.create_task(run_client(c, port, parts)) for c in clients]
    try:
        await asyncio.wait(tasks, timeout=settle_s)
        yield clients
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            client.sock.close()
