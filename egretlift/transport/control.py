"""Control messages between daemons over gRPC.

Every error of a control call is raised as ``ControlFailed``, since the caller can
only try another daemon or wait for the next period.
"""

import hashlib
import hmac

import anyio
from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from egretlift.errors import EgretliftError
from egretlift.transport.generated.control_grpc import ControlBase, ControlStub

TOKEN_METADATA = "egretlift-token"
# Channels beyond this number are closed, least recently used first, to bound memory.
CHANNELS_MAXIMUM = 64
# Longest reply. A daemon sends at most all objects of the configuration at once.
REPLY_BYTES_MAXIMUM = 16 * 1024 * 1024
# grpclib raises AssertionError for a reply that is cut off or missing, and
# NotImplementedError for a compressed one.
CALL_ERRORS = (
    AssertionError,
    DecodeError,
    GRPCError,
    NotImplementedError,
    OSError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)


class ControlFailed(EgretliftError):
    """Another daemon did not answer a control message, or refused it."""


def make_token(secret):
    """Return the token (HMAC-SHA256, hex) that proves knowledge of the mesh secret."""
    return hmac.new(secret.encode(), b"egretlift control", hashlib.sha256).hexdigest()


class ControlHandlers(ControlBase):
    """Passes each control message to a coroutine function.

    Parameters
    ----------
    secret : str
        Mesh secret; a request without its token is refused as unauthenticated.
    gossip, probe, allocate, confirm : coroutine functions
        Each takes a request message and returns a reply message.
    """

    __slots__ = ("allocate", "confirm", "gossip", "probe", "token")

    def __init__(self, secret, gossip, probe, allocate, confirm):
        self.token = make_token(secret)
        self.gossip = gossip
        self.probe = probe
        self.allocate = allocate
        self.confirm = confirm

    async def _answer(self, stream, handle):
        token = str(stream.metadata.get(TOKEN_METADATA, ""))
        if not hmac.compare_digest(token, self.token):
            raise GRPCError(
                Status.UNAUTHENTICATED, "set the same mesh-secret on all hosts"
            )
        try:
            request = await stream.recv_message()
        except DecodeError:
            raise GRPCError(
                Status.INVALID_ARGUMENT, "run one version on all hosts"
            ) from None
        await stream.send_message(await handle(request))

    async def Gossip(self, stream):  # noqa: N802
        """Answer a gossip message."""
        await self._answer(stream, self.gossip)

    async def Probe(self, stream):  # noqa: N802
        """Answer a request to probe another daemon."""
        await self._answer(stream, self.probe)

    async def Allocate(self, stream):  # noqa: N802
        """Answer a request for a share of a rate."""
        await self._answer(stream, self.allocate)

    async def Confirm(self, stream):  # noqa: N802
        """Answer a lease holder that asks for confirmation of its zone lease."""
        await self._answer(stream, self.confirm)


async def serve_control(handlers, address, port):
    """Start the control server and return it."""
    server = Server([handlers])
    await server.start(address, port)
    return server


async def close_control(server):
    """Stop the control server."""
    server.close()
    await server.wait_closed()


async def ask(method, secret, request):
    """Send a request with a method of the stub and return the reply."""
    metadata = {TOKEN_METADATA: make_token(secret)}
    async with method.open(metadata=metadata) as stream:
        await stream.send_message(request, end=True)
        limit_messages(stream._stream)
        reply = await stream.recv_message()
        if reply is None:
            raise ProtocolError("no reply")
        return reply


def limit_messages(stream):
    """Make a stream refuse messages that state over ``REPLY_BYTES_MAXIMUM``.

    grpclib keeps what it has received of a message of any length, until all of it came.

    Parameters
    ----------
    stream : grpclib.protocol.Stream
    """
    receive = stream.recv_data

    async def receive_limited(size):
        if size > REPLY_BYTES_MAXIMUM:
            raise ProtocolError(f"a message of {size} bytes")
        return await receive(size)

    stream.recv_data = receive_limited


async def call_control(channels, secret, endpoint, name, request, timeout_s):
    """Send a control message and return the reply.

    Parameters
    ----------
    channels : dict
        Open channels by endpoint, least recently used first; changed in place.
    secret : str
        Mesh secret.
    endpoint : tuple of (str, int)
        Address and control port.
    name : str
        ``Gossip``, ``Probe``, ``Allocate`` or ``Confirm``.
    request : protobuf message
    timeout_s : float

    Raises
    ------
    ControlFailed
        The call failed or was not answered within ``timeout_s``.
    """
    channel = channels.pop(endpoint, None) or Channel(*endpoint)
    channels[endpoint] = channel
    while len(channels) > CHANNELS_MAXIMUM:
        channels.pop(next(iter(channels))).close()
    try:
        with anyio.fail_after(timeout_s):
            return await ask(getattr(ControlStub(channel), name), secret, request)
    except CALL_ERRORS as error:
        # A connection that loses messages in one direction stays open, and would
        # otherwise be used for every later call.
        if channels.get(endpoint) is channel:
            del channels[endpoint]
        channel.close()
        raise ControlFailed(
            f"{name} to {endpoint[0]}:{endpoint[1]} failed ({type(error).__name__})",
            "check the host and the network; the daemon repeats the call",
        ) from error


def close_channels(channels):
    """Close all channels and remove them from the dict."""
    for channel in channels.values():
        channel.close()
    channels.clear()
