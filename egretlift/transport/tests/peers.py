"""Event loops and peers that the tests of connections share."""

import asyncio
from contextlib import asynccontextmanager

import uvloop

# Runners by name: the daemons use uvloop, the product's own path asyncio's loop.
LOOPS = (("asyncio", asyncio.run), ("uvloop", uvloop.run))


@asynccontextmanager
async def open_peer(serve):
    """Serve connections on a free port, and yield the endpoint.

    ``serve`` takes the reader and the writer of a connection. It ends when the client
    closes the connection, which is closed after it.
    """

    async def serve_connection(reader, writer):
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()
        # Lets the peer notice the end of its connections.
        await asyncio.sleep(0.03)
