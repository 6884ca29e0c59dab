"""Raw connections, and an upstream that breaks HTTP on purpose."""

import hashlib
import re
import socket
import socketserver
import threading
import time
from pathlib import Path

CHUNK = b"x" * 65536


def exchange_bytes(port, data, timeout_s=4.0, half_close=False, answer_count=1):
    """Send bytes and return (answers, whether the daemon closed the connection).

    Parameters
    ----------
    half_close : bool
        Whether to close the sending side of the connection after the bytes.
    answer_count : int
        Number of complete answers after which to stop reading.
    """
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(timeout_s)
        received = b""
        try:
            connection.sendall(data)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
            while len(split_answers(received)) < answer_count:
                part = connection.recv(65536)
                if not part:
                    return split_answers(received), True
                received += part
        except TimeoutError:
            return split_answers(received), False
        except ConnectionError:
            return split_answers(received), True
        return split_answers(received), False


def split_answers(received):
    """Return (status, headers, body) of each complete answer.

    An answer without a content length is taken to have no body.
    """
    answers = []
    while True:
        head, end, rest = received.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(
            line.lower().split(": ", 1) for line in lines[1:] if ": " in line
        )
        size = int(headers.get("content-length", 0))
        if not end or len(rest) < size:
            return answers
        answers.append((int(lines[0].split()[1]), headers, rest[:size]))
        received = rest[size:]


def read_request(file):
    """Read one request; return its path, and the size and SHA-256 of its body.

    Returns None at the end of the connection.
    """
    line = file.readline()
    if not line.strip():
        return None
    headers = {}
    for raw in iter(file.readline, b"\r\n"):
        name, _, value = raw.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    digest, count = hashlib.sha256(), 0
    for part in read_parts(file, headers):
        digest.update(part)
        count += len(part)
    return line.split()[1].decode(), count, digest.hexdigest()


def read_parts(file, headers):
    """Yield the parts of a request's body, which is chunked or has a length."""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(file.readline(), 16):
            yield file.read(size)
            file.readline()
        file.readline()
        return
    left = int(headers.get("content-length", 0))
    while left:
        part = file.read(min(left, len(CHUNK)))
        if not part:
            return
        left -= len(part)
        yield part


class RawUpstream(socketserver.ThreadingTCPServer):
    """Upstream whose answers depend on the path.

    ``/big/N`` is answered with N bytes, ``/chunked/N`` with N bytes in chunks.
    ``/cut/N`` and ``/cutchunked/N`` send half of that and close the connection. Any
    other path is answered with the path and with the size and SHA-256 of the body
    received; ``/slow`` paths after a pause that depends on the path.
    """

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def __init__(self):
        super().__init__(("127.0.0.1", 0), RawHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()


class RawHandler(socketserver.StreamRequestHandler):
    """One connection to a `RawUpstream`."""

    def handle(self):
        """Answer requests until the connection ends."""
        while True:
            try:
                request = read_request(self.rfile)
                if request is None or not self.answer(*request):
                    return
            except (ConnectionError, ValueError):
                return

    def answer(self, path, count, digest):
        """Answer one request; return whether the connection stays open."""
        match = re.match(r"/(?:open/)?(big|chunked|cut|cutchunked)/(\d+)", path)
        if match:
            return self.send_large(match[1], int(match[2]))
        if "/slow" in path:
            time.sleep(int(digest_text(path)[:2], 16) / 5000)
        body = f"{path} {count} {digest}".encode()
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
        self.wfile.write(head.encode() + body)
        return True

    def send_large(self, kind, size):
        """Send a body, or half of it if cut; return whether it was complete."""
        chunked, cut = kind.endswith("chunked"), kind.startswith("cut")
        framing = "transfer-encoding: chunked" if chunked else f"content-length: {size}"
        self.wfile.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
        left = size // 2 if cut else size
        while left:
            part = CHUNK[: min(left, len(CHUNK))]
            left -= len(part)
            frame = b"%x\r\n%s\r\n" % (len(part), part) if chunked else part
            self.wfile.write(frame)
        if chunked and not cut:
            self.wfile.write(b"0\r\n\r\n")
        return not cut


def digest_text(text):
    """Return the SHA-256 of text as hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def read_memory(process, field="VmRSS"):
    """Return the resident memory, or another field, of a process in MB."""
    text = Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+) kB", text)[1]) / 1024


class MemoryMonitor:
    """Context manager that samples the resident memory of processes.

    ``growth`` is the largest increase of any one process since the monitor was
    created, in MB.
    """

    def __init__(self, processes):
        self.processes = processes
        self.before = {process: read_memory(process) for process in processes}
        self.growth = 0.0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        """Sample until stopped."""
        while not self.stopped.wait(0.005):
            for process, before in self.before.items():
                self.growth = max(self.growth, read_memory(process) - before)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *error):
        self.stopped.set()
        self.thread.join()
