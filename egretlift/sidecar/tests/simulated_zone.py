"""Simulated daemons of a zone, which exchange reports in simulated time."""

import random
from contextlib import ExitStack
from unittest.mock import patch

from egretlift.membership.peers import encode_report
from egretlift.platform import requests as dialect
from egretlift.platform.bootfile import decode_settings
from egretlift.platform.configuration import decode_configuration
from egretlift.platform.tests.test_decoding import SETTINGS
from egretlift.sidecar import board as board_module
from egretlift.sidecar import following, host_entries, reporting
from egretlift.sidecar.board import Board
from egretlift.sidecar.following import is_follower
from egretlift.sidecar.reporting import (
    choose_report_interval_s,
    make_report,
    receive_report,
    update_zone_view,
)
from standins.sidecars import make_configuration

STEP_S = 0.01
CLOCK_USERS = (board_module, following, host_entries, reporting)


class Host:
    """One simulated daemon, whose calls to the store succeed or fail at once.

    Attributes
    ----------
    side : int
        Its reports reach the hosts of the same side only.
    """

    def __init__(self, number, zone):
        settings = {**SETTINGS, "node_name": f"h{number:03}", "zone": zone}
        settings["listen"] = {
            name: f"10.1.{number // 200}.{1 + number % 200}:{8540 + offset}"
            for offset, name in enumerate(("inbound", "outbound", "ready", "control"))
        }
        settings["ip"] = f"10.1.{number // 200}.{1 + number % 200}"
        self.board = Board(decode_settings(settings), dialect, None)
        self.board.random = random.Random(number)
        self.board.configuration = decode_configuration(make_configuration(3))
        self.board.hosts_listed.set()
        self.name = self.board.settings.host
        self.report_at = 0.5 * self.board.random.random()
        self.number = 0
        self.is_running = True
        self.follows = False
        self.side = 0

    def send_report(self, hosts, now):
        """Send a report to all hosts in reach, and set the time of the next one."""
        self.number += 1
        update_zone_view(self.board)
        report = make_report(self.board, self.number)
        for other in hosts:
            in_reach = other.is_running and other.side == self.side
            if in_reach and other is not self:
                receive_report(other.board, encode_report(report))
        jitter = 0.9 + 0.2 * self.board.random.random()
        self.report_at = now + choose_report_interval_s(self.board) * jitter


class Zone:
    """Simulated daemons of one zone, with one host of each of two other zones."""

    def __init__(self, count):
        self.now = 0.0
        self.hosts = [Host(number, "ie-east-a") for number in range(count)]
        self.remote = [Host(1000, "ie-east-b"), Host(1001, "ie-east-c")]
        self.is_store_up = True
        self.tries = 0
        for remote in self.remote:
            remote.send_report(self.hosts, self.now)

    def run(self, seconds):
        """Let time pass."""
        with ExitStack() as stack:
            for module in CLOCK_USERS:
                stack.enter_context(patch.object(module, "read_clock", self.read))
            for _ in range(round(seconds / STEP_S)):
                self.now += STEP_S
                self.step()

    def read(self):
        """Return the simulated time in seconds."""
        return self.now

    def step(self):
        """Send the reports that are due and let followers call the store."""
        for host in self.hosts:
            if not host.is_running:
                continue
            if self.now >= host.report_at or host.board.report_due.is_set():
                host.board.report_due = type(host.board.report_due)()
                host.send_report(self.hosts, self.now)
        for remote in self.remote:
            if self.now >= remote.report_at + 1.5:
                remote.send_report([self.hosts[remote.number % 4]], self.now)
        for host in self.hosts:
            if host.is_running:
                self.call_store(host)

    def call_store(self, host):
        """Let a host call the store as soon as it has to follow it."""
        followed, host.follows = host.follows, is_follower(host.board)
        if host.follows and not followed:
            self.tries += 1
            following.record_store_status(host.board, self.is_store_up, "simulated")

    def stop_store(self):
        """Let the store turn all hosts away from now on."""
        self.is_store_up = False
        with patch.object(following, "read_clock", self.read):
            for host in self.list_followers():
                following.record_store_status(host.board, False, "simulated")

    def list_followers(self):
        """Return the running hosts that follow the store."""
        return [host for host in self.hosts if host.is_running and host.follows]

    def measure_takeover_s(self, lost):
        """Return how long no host follows the store after some are lost."""
        for host in lost:
            host.is_running = False
        began = self.now
        while not self.list_followers() and self.now < began + 10:
            self.run(STEP_S)
        return self.now - began
