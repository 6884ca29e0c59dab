"""Turns of connections whose received bytes take long to parse.

A client can send bytes that are parsed far more slowly than they arrive, such as chunks
of two bytes. Connections with many bytes to parse therefore take turns, one in each
iteration of the event loop, so that everything else goes on in between.
"""

import asyncio
from collections import deque

# Longest time that one connection parses at a stretch, in seconds.
TURN_S = 0.002


class Turns:
    """Connections of a process that wait for their turn.

    Attributes
    ----------
    waiting : deque
        Objects with a method ``take_turn``, which returns whether another one is
        needed; the next one first.
    """

    __slots__ = ("waiting",)

    def __init__(self):
        self.waiting = deque()


def add_turn(turns, connection):
    """Let a connection wait for a turn, unless it does already."""
    if connection in turns.waiting:
        return
    if not turns.waiting:
        asyncio.get_running_loop().call_soon(run_turn, turns)
    turns.waiting.append(connection)


def run_turn(turns):
    """Let the first connection take its turn, and schedule the next turn."""
    if turns.waiting[0].take_turn():
        turns.waiting.rotate(-1)
    else:
        turns.waiting.popleft()
    if turns.waiting:
        asyncio.get_running_loop().call_soon(run_turn, turns)
