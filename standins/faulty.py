"""An upstream of a sidecar daemon whose answers have defects, over raw connections.

The body of an answer follows from the identifier and the path of its request, so that a
caller can tell whether an answer is whole and its own.
"""

import asyncio

from egretlift.transport.sockets import reset_connection

BODY_REPEATS = 40
HEAD_END = b"\r\n\r\n"
DEFECTS = (
    "unframed",
    "unframed-reset",
    "unframed-early",
    "cut",
    "extra",
    "extra-late",
    "refused",
    "lost",
    "failed",
)


def make_body(request_id, path):
    """Return the body of the whole answer to a request."""
    return f"{request_id} {path}\n".encode() * BODY_REPEATS


def encode_answer(request_id, status, body, lines=(), framed=True):
    """Return the bytes of an answer, with a length if it is ``framed``."""
    head = [f"HTTP/1.1 {status} Answer", f"X-Request-Id: {request_id}", *lines]
    head.append(f"Content-Length: {len(body)}" if framed else "Connection: close")
    return "\r\n".join(head).encode() + HEAD_END + body


async def read_head(reader):
    """Return (path, headers by lower-case name, bytes of the body) of a request."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    return head[0].split(" ")[1], fields, int(fields.get("content-length", 0))


class FaultyUpstream:
    """Serves one upstream's requests and records which of them ran.

    Attributes
    ----------
    upstream_id : str
    random : random.Random
    defects : dict of str to float
        Probability of each of ``DEFECTS``.
    ran : list of (str, str)
        Identifier and path of each request that was executed.
    """

    __slots__ = ("defects", "ran", "random", "server", "upstream_id")

    def __init__(self, upstream_id, random):
        self.upstream_id = upstream_id
        self.random = random
        self.defects = {}
        self.ran = []
        self.server = None

    async def listen(self):
        """Listen on a free port of 127.0.0.1 and return it."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def cleanup(self):
        """Stop listening."""
        self.server.close()

    def choose_defect(self):
        """Return the defect of the next answer, "" for none."""
        position = self.random.random()
        for name, share in self.defects.items():
            position -= share
            if position < 0:
                return name
        return ""

    async def serve(self, reader, writer):
        """Serve one connection."""
        late = b""
        try:
            while True:
                path, fields, size = await read_head(reader)
                defect = self.choose_defect()
                if defect != "unframed-early":
                    await reader.readexactly(size)
                writer.write(late)
                answer = await self.execute(path, fields, defect)
                late = answer if defect == "extra-late" else b""
                if not self.write_answer(writer, answer, defect):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def execute(self, path, fields, defect):
        """Run a request, unless it is refused, and return its answer's bytes."""
        request_id = fields.get("x-request-id", "")
        if fields.get("x-expect-instance") != self.upstream_id:
            return encode_answer(request_id, 421, b"")
        if defect == "refused":
            return encode_answer(request_id, 503, b"", ["X-Not-Executed: 1"])
        self.ran.append((request_id, path))
        await asyncio.sleep(0.05 * self.random.random())
        status = 500 if defect == "failed" else 200
        seal = [f"X-Server-Seal: {self.upstream_id}"]
        framed = not defect.startswith("unframed")
        body = make_body(request_id, path)
        return encode_answer(request_id, status, body, seal, framed)

    def write_answer(self, writer, answer, defect):
        """Write an answer with its defect; return whether the connection goes on."""
        if defect in ("unframed-reset", "unframed-early", "cut", "lost"):
            size = len(answer) - len(answer) // 4
            writer.write(b"" if defect == "lost" else answer[:size])
            if defect != "cut":
                reset_connection(writer.transport)
            return False
        writer.write(answer * 2 if defect == "extra" else answer)
        return defect != "unframed"
