"""Sending of control messages to other daemons.

Each is authenticated with the mesh secret, has a timeout, and its bytes are counted.
"""

from egretlift.blackboard import count
from egretlift.transport.control import call_control


async def send_control(board, member, name, request, timeout_s=None):
    """Send a control message to a member and return the reply.

    Parameters
    ----------
    board : Blackboard
    member : Member
        Receiver; only ``address`` and ``control_port`` are read.
    name : str
        Method of the control service, such as ``Gossip``.
    request : protobuf message
    timeout_s : float, optional
        ``settings.gossip_timeout_s`` if None or 0.

    Raises
    ------
    ControlFailed
        The call failed or no reply came within the timeout.
    """
    settings = board.settings
    count(board, "control_bytes", "sent", request.ByteSize())
    reply = await call_control(
        board.channels,
        settings.mesh_secret,
        (member.address, member.control_port),
        name,
        request,
        timeout_s or settings.gossip_timeout_s,
    )
    count(board, "control_bytes", "received", reply.ByteSize())
    return reply
