"""Exchange of suspects between the daemons of a service."""

import anyio

from egretlift.admission import quarantine as policy
from egretlift.clock import read_clock
from egretlift.documents import is_number
from egretlift.errors import ObjectInvalid
from egretlift.serving.upstream_ends import enforce_quarantine, log_release
from egretlift.sidecar.datagrams import SUSPECTS, encode_datagram, send_datagram

# An end is told at once to all hosts of the service, or to so many random ones; then
# each daemon tells some others at this interval.
RECIPIENTS_MAXIMUM = 64
INTERVAL_S = 1.0
RECIPIENTS_PER_INTERVAL = 3
# Without the store and other daemons, a daemon that starts may not learn the hosts.
HOSTS_WAIT_S = 2.0
# A new host is known to the others after its first report, or from its entry in the
# store.
QUESTIONS = 8
QUESTION_INTERVAL_S = 0.3
# More suspects would not fit into one packet.
SUSPECTS_PER_DATAGRAM = 8
SUSPECTS_PER_INTERVAL = 32
FINGERPRINT_DIGITS = 2 * policy.FINGERPRINT_BYTES
UPSTREAM_NAME_MAXIMUM = 200
# Older ends and completions change nothing.
AGE_MAXIMUM_S = 86_400.0
REMEDY = "send a service, a host, and seconds since ends and completions"


async def share_suspects(board):
    """Tell other daemons of the service which requests are suspected.

    A daemon that has just started asks them, several times, as they answer only once
    they know its host.
    """
    with anyio.move_on_after(HOSTS_WAIT_S):
        await board.hosts_listed.wait()
    questions = QUESTIONS
    while True:
        if questions:
            questions -= 1
            send_suspects(board, [], choose_recipients(board, RECIPIENTS_MAXIMUM))
        pause_s = QUESTION_INTERVAL_S if questions else INTERVAL_S
        with anyio.move_on_after(pause_s * (0.9 + 0.2 * board.random.random())):
            await board.suspects_due.wait()
        changed = sorted(board.changed_suspects)
        if changed:
            board.changed_suspects.clear()
            board.suspects_due = anyio.Event()
            recipients = choose_recipients(board, RECIPIENTS_MAXIMUM)
            send_suspects(board, changed, recipients)
        else:
            forget_suspects(board)
            send_endangered(board, choose_recipients(board, RECIPIENTS_PER_INTERVAL))


def choose_recipients(board, maximum):
    """Return random other hosts of the service, at most ``maximum``."""
    peers = board.list_service_peers()
    return board.random.sample(peers, min(maximum, len(peers)))


def send_endangered(board, peers):
    """Tell hosts of the requests that are isolated or quarantined, if there are any."""
    endangered = policy.list_endangered(board.quarantine)
    if endangered:
        send_suspects(board, endangered[-SUSPECTS_PER_INTERVAL:], peers)


def forget_suspects(board):
    """Forget the suspects whose last end is long ago."""
    quarantine = board.quarantine
    quarantined = {
        name for name in quarantine.suspects if policy.is_quarantined(quarantine, name)
    }
    for fingerprint in policy.forget_suspects(quarantine, read_clock()):
        if fingerprint in quarantined:
            log_release(board, fingerprint, "old")


def send_suspects(board, fingerprints, peers):
    """Send what is known about requests, their ends and completions, to hosts.

    A datagram about no request asks for what the others know.
    """
    for first in range(0, max(1, len(fingerprints)), SUSPECTS_PER_DATAGRAM):
        part = fingerprints[first : first + SUSPECTS_PER_DATAGRAM]
        data = encode_datagram(SUSPECTS, encode_suspects(board, part))
        for peer in peers:
            send_datagram(board, data, peer)


def encode_suspects(board, fingerprints):
    """Return the values of a datagram about suspects."""
    suspects, completed = board.quarantine.suspects, board.quarantine.completed
    now = read_clock()
    ends = {
        name: {
            upstream: round(now - ended_at, 3)
            for upstream, ended_at in suspects[name].ends.items()
        }
        for name in fingerprints
        if name in suspects
    }
    completions = {
        name: min(AGE_MAXIMUM_S, round(now - completed[name], 3))
        for name in fingerprints
        if name in completed
    }
    return [board.settings.service, board.settings.host, ends, completions]


def receive_suspects(board, values):
    """Merge what another daemon of the service knows about suspects, or answer it.

    Raises
    ------
    ObjectInvalid
        ``values`` are no suspects.
    """
    service, host, suspects, completions = check_suspects(values)
    if service != board.settings.service:
        return
    if not suspects and not completions and host in board.peers:
        send_endangered(board, [board.peers[host]])
    quarantine, now = board.quarantine, read_clock()
    names = {*suspects, *completions}
    before = {name for name in names if policy.is_quarantined(quarantine, name)}
    for fingerprint, age_s in completions.items():
        policy.record_completion(quarantine, fingerprint, now - age_s)
    refuted = [
        fingerprint
        for fingerprint, ends in suspects.items()
        if policy.merge_ends(quarantine, fingerprint, ends, now)
        and fingerprint not in completions
    ]
    after = {name for name in names if policy.is_quarantined(quarantine, name)}
    enforce_quarantine(board, sorted(after - before), "daemon")
    for fingerprint in sorted(before - after):
        log_release(board, fingerprint, "completed")
    if refuted:
        board.share_suspects(refuted)


def check_suspects(values):
    """Return the values of a datagram about suspects if they have the right types.

    Raises
    ------
    ObjectInvalid
    """
    try:
        service, host, suspects, completions = values
        names = {*suspects, *completions}
        ends = [end for found in suspects.values() for end in found.items()]
        ages = [*completions.values(), *(age_s for _, age_s in ends)]
    except (AttributeError, TypeError, ValueError) as error:
        raise ObjectInvalid(f"suspects: {error!r:.200}", REMEDY) from error
    if not (
        isinstance(service, str)
        and isinstance(host, str)
        and len(names) <= SUSPECTS_PER_DATAGRAM
        and all(is_fingerprint(name) for name in names)
        and all(len(found) <= policy.ENDS_MAXIMUM for found in suspects.values())
        and all(len(upstream) <= UPSTREAM_NAME_MAXIMUM for upstream, _ in ends)
        and all(is_number(age_s, 0, AGE_MAXIMUM_S) for age_s in ages)
    ):
        raise ObjectInvalid(f"suspects: {values!r:.200}", REMEDY)
    return service, host, suspects, completions


def is_fingerprint(value):
    """Return whether a decoded value can be a fingerprint."""
    return isinstance(value, str) and len(value) == FINGERPRINT_DIGITS
