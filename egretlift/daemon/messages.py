"""Control messages to other daemons, with their secret, time limit and byte counts."""

from egretlift.blackboard import count
from egretlift.transport.control import call_control


async def send_control(board, member, name, request, timeout_s=None):
    """Send a control message to a member and return the reply.

    Parameters
    ----------
    board : Blackboard
    member : Member
        Its address and control port are used.
    name : str
        Method of the control service.
    request : protobuf message
    timeout_s : float, optional
        ``settings.gossip_timeout_s`` if None.

    Raises
    ------
    ControlFailed
        No reply came in time.
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
