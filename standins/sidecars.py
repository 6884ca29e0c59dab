"""Local meshes of sidecar daemons, with a simulated store and upstreams.

The store and the upstreams run in the event loop of the test, which can change their
behaviour directly. Each daemon is a process that listens on 127.0.0.1.
"""

import asyncio
import hashlib
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

from standins.metastore import Metastore, serve_metastore
from standins.ports import PortBlocks, allocate_port, release_ports

ROOT = Path(__file__).resolve().parent.parent
KEY = "key-of-northlight"
START_TIMEOUT_S = 15.0
# Time for which an upstream runs a deadly request, and until it has started again.
DEADLY_AFTER_S = 0.03
RESTART_S = 0.5
# Time for which an upstream does not read a request to its deaf path.
DEAF_S = 60.0
COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout_s",
    "target_latency_s",
    "priority",
    "max_attempts",
    "anonymous",
    "service",
]
ROUTES = [
    ["views", "m.example", "/view/", "idempotent", 2, 1, 2, 2, False, "checkout"],
    ["books", "m.example", "/book/", "non_idempotent", 2, 1, 0, 2, False, "checkout"],
    ["inner", "m.example", "/inner/", "idempotent", 2, 1, 2, 2, True, "checkout"],
]


def make_configuration(version, keys=(KEY,), rate=1000, routes=ROUTES, limits=None):
    """Return the spec of a configuration with one organisation.

    ``rate``, in requests a second, is also its burst. ``limits`` bound what callers may
    send.
    """
    return {
        "version": version,
        "limits": limits,
        "routes": {"columns": COLUMNS, "rows": routes},
        "tenants": {
            "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
            "rows": [["northlight", list(keys), 1, rate, rate]],
        },
    }


class Upstream:
    """Simulated upstream and the contents of its heartbeats.

    Attributes
    ----------
    requests : list of (float, Mapping)
        Monotonic time and headers of each executed request.
    slots : int
        Number of requests that it states to run at once.
    slow_s : float
        Seconds after which it answers if it is slow.
    call_after_s : float
        Seconds after which it makes its call if it makes calls.
    behaviour : str
        ``serve``: answers at once. ``slow``: answers late. ``reset``: executes,
        then resets the connection. ``full``: refuses without execution. ``fail``:
        answers with status 500. ``call``: makes one call through its daemon, except on
        paths under ``/inner/``, and fails if that call fails. ``stutter``: answers, and
        writes the answer once more when the next request of the connection comes.
    late : dict
        Bytes of the late second answer by connection.
    rate_limit : float or None
        Requests a second that its answers state as its limit, None for no limit.
    is_leaving : bool
        Whether its answers state that it leaves.
    deadly_path : str
        Path whose requests end the upstream shortly after their arrival.
    deaf_path : str
        Path whose requests are not read, and answered late.
    script : coroutine function or None
        Writes its answers; see `standins.broken`.
    status_line : str
        Status and reason of its answers if they are written as raw bytes, else "".
    is_framed : bool
        Whether such an answer states its length.
    ends : int
        How often the upstream has ended in this way.
    has_ended : asyncio.Event
        Set when it ends; see `SidecarMesh.restart_upstreams`.
    connections : set of asyncio.Transport
        Connections over which requests came.
    padding_bytes : int
        Bytes that its answers have behind the path.
    bodies : dict of str to (int, str)
        Length and SHA-256 of the last body by identifier of the request.
    beats : int
        Sequence number of the last heartbeat.
    born : int
        Time of the start in milliseconds since the epoch.
    """

    def __init__(self, number, service, caller_port):
        self.caller_port = caller_port
        self.upstream_id = f"i-{number}"
        self.service = service
        self.requests = []
        self.slots = 8
        self.slow_s = 0.5
        self.call_after_s = 0.9
        self.behaviour = "serve"
        self.late = {}
        self.rate_limit = None
        self.is_leaving = False
        self.deadly_path = ""
        self.deaf_path = ""
        self.script = None
        self.status_line = ""
        self.is_framed = True
        self.ends = 0
        self.has_ended = asyncio.Event()
        self.connections = set()
        self.padding_bytes = 0
        self.bodies = {}
        self.beats = 0
        self.state = "ready"
        self.born = int(1000 * time.time())

    async def handle(self, request):
        """Execute one request, or refuse it.

        A request for another instance gets 421.
        """
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        request.transport.write(self.late.pop(request.transport, b""))
        if self.rate_limit is not None:
            headers["Server-Limit"] = str(self.rate_limit)
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if request.headers.get("X-Expect-Instance") != self.upstream_id:
            return web.Response(status=421, headers=headers)
        if self.behaviour == "full":
            headers["X-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        self.requests.append((time.monotonic(), request.headers.copy()))
        self.connections.add(request.transport)
        if request.path == self.deadly_path:
            await asyncio.sleep(DEADLY_AFTER_S)
            self.end()
        if request.path == self.deaf_path:
            await asyncio.sleep(DEAF_S)
        if self.script is not None:
            headers["X-Server-Seal"] = self.upstream_id
            return await self.script(request, headers)
        await self.read_body(request)
        if self.behaviour == "slow":
            await asyncio.sleep(self.slow_s)
        if self.behaviour == "reset":
            request.transport.abort()
            raise ConnectionResetError
        failed = self.behaviour == "fail"
        if self.behaviour == "call" and not request.path.startswith("/inner/"):
            failed = await self.make_call(request) != 200
        headers["X-Server-Seal"] = self.upstream_id
        if self.status_line:
            return await self.answer_raw(request, headers)
        status = 500 if failed else 200
        if self.behaviour == "stutter":
            self.late[request.transport] = encode_answer(request.path, headers)
        text = request.path + "." * self.padding_bytes
        return web.Response(status=status, text=text, headers=headers)

    async def answer_raw(self, request, headers):
        """Answer with the status line that is set, and end the connection."""
        lines = [f"{name}: {value}" for name, value in headers.items()]
        if self.is_framed:
            lines.append(f"Content-Length: {len(request.path)}")
        head = [f"HTTP/1.1 {self.status_line}", *lines, "", request.path]
        request.transport.write("\r\n".join(head).encode())
        request.transport.close()
        raise ConnectionResetError

    async def read_body(self, request):
        """Read a body in parts, and keep its length and SHA-256 by its request."""
        digest, length = hashlib.sha256(), 0
        async for part in request.content.iter_any():
            digest.update(part)
            length += len(part)
        request_id = request.headers.get("X-Request-Id", "")
        self.bodies[request_id] = (length, digest.hexdigest())

    def end(self):
        """End the process: reset all connections."""
        if not self.has_ended.is_set():
            self.ends += 1
            self.has_ended.set()
            for transport in self.connections:
                transport.abort()
            self.connections.clear()

    async def make_call(self, request):
        """Make one call on behalf of a request and return its status."""
        started = time.monotonic()
        await asyncio.sleep(self.call_after_s)
        spent_ms = round(1000 * (time.monotonic() - started))
        headers = {
            "Host": "m.example",
            "X-Request-Id": f"{request.headers['X-Request-Id']}.1",
            "X-Deadline-Ms": str(int(request.headers["X-Deadline-Ms"]) - spent_ms),
        }
        url = f"http://127.0.0.1:{self.caller_port}/inner/1"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, headers=headers) as response,
        ):
            return response.status


def encode_answer(text, headers):
    """Return the bytes of a successful answer."""
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = ["HTTP/1.1 200 OK", *lines, f"Content-Length: {len(text)}", "", text]
    return "\r\n".join(head).encode()


class Sidecar:
    """Process, settings and upstream of one sidecar daemon.

    ``ports`` are those of the inbound, outbound, readiness and control endpoints, of
    the upstream, and the two internal ports.
    """

    def __init__(self, number, zone, service, ports, store_port):
        self.name = f"host-{number}"
        self.ports = ports
        self.upstream = Upstream(number, service, ports[1])
        self.process = None
        self.runner = None
        loopback = "127.0.0.1"
        self.settings = {
            "node_name": self.name,
            "ip": loopback,
            "zone": zone,
            "service": service,
            "listen": {
                "inbound": f"{loopback}:{ports[0]}",
                "outbound": f"{loopback}:{ports[1]}",
                "ready": f"{loopback}:{ports[2]}",
                "control": f"{loopback}:{ports[3]}",
            },
            "internal_ports": [ports[5], ports[5] + 1],
            "heartbeat_s": 0.3,
            "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2},
            "app_addr": f"{loopback}:{ports[4]}",
            "platform": {"address": f"{loopback}:{store_port}"},
        }

    def start(self, folder, root=ROOT):
        """Return the coroutine that starts the daemon's process.

        The settings file and the log are written to ``folder``. The daemon's program
        is that of the source tree ``root``.
        """
        path = Path(folder) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        self.process = asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "egretlift.sidecar",
            cwd=root,
            env={**os.environ, "EGRETLIFT_NODE_FILE": str(path)},
            stdout=(Path(folder) / f"{self.name}.log").open("ab"),
        )
        return self.process

    def signal(self, number):
        """Send a signal to the daemon's process."""
        self.process.send_signal(number)


class SidecarMesh:
    """Daemons in two zones, with their upstreams and a store.

    Used as an asynchronous context manager, which starts and stops everything.

    Parameters
    ----------
    count : int
        Number of daemons.
    services : sequence of str
        Services that the daemons' upstreams run, in turn.
    root : pathlib.Path
        Source tree of the daemons' program.
    slots : int
        Slots that each upstream states.
    limits : dict or None
        Memory and descriptors of a daemon, as its settings state them.
    """

    def __init__(
        self, count=2, services=("checkout",), root=ROOT, slots=8, limits=None
    ):
        self.count = count
        self.slots = slots
        self.limits = limits
        self.services = services
        self.root = root
        self.blocks = PortBlocks()
        self.folder = tempfile.TemporaryDirectory()
        self.store = None
        self.sidecars = []
        self.tasks = []
        self.http = None

    async def __aenter__(self):
        self.store = Metastore()
        self.store.era = 1
        self.store_port = allocate_port(self.blocks)
        self.store_runner = await serve_metastore(self.store, self.store_port)
        self.store.put("config", "main", make_configuration(3))
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for number in range(self.count):
            ports = [allocate_port(self.blocks) for _ in range(7)]
            service = self.services[number % len(self.services)]
            sidecar = Sidecar(number, "ab"[number % 2], service, ports, self.store_port)
            sidecar.upstream.slots = self.slots
            if self.limits is not None:
                sidecar.settings["limits"] = self.limits
            self.sidecars.append(sidecar)
            await self.start_upstream(sidecar)
            sidecar.process = await sidecar.start(self.folder.name, self.root)
        for sidecar in self.sidecars:
            await self.wait_until_ready(sidecar)
        await self.wait_until_registered()
        return self

    async def __aexit__(self, *details):
        for task in self.tasks:
            task.cancel()
        await self.http.close()
        for sidecar in self.sidecars:
            if sidecar.process.returncode is None:
                sidecar.signal(signal.SIGKILL)
            await sidecar.process.wait()
            await sidecar.runner.cleanup()
        await self.store_runner.cleanup()
        release_ports(self.blocks)
        self.folder.cleanup()

    async def start_upstream(self, sidecar):
        """Start serving an upstream and sending its heartbeats."""
        upstream = sidecar.upstream
        sidecar.runner = web.ServerRunner(
            web.Server(upstream.handle), shutdown_timeout=0.1
        )
        await sidecar.runner.setup()
        site = web.TCPSite(sidecar.runner, "127.0.0.1", sidecar.ports[4])
        await site.start()
        self.tasks.append(asyncio.create_task(self.send_heartbeats(sidecar)))
        self.tasks.append(asyncio.create_task(self.restart_upstream(sidecar, site)))

    async def restart_upstream(self, sidecar, site):
        """Start an upstream again, under another identifier, each time it has ended."""
        upstream = sidecar.upstream
        while True:
            await upstream.has_ended.wait()
            await site.stop()
            await asyncio.sleep(RESTART_S)
            site = web.TCPSite(sidecar.runner, "127.0.0.1", sidecar.ports[4])
            await site.start()
            upstream.upstream_id += "x"
            upstream.born = int(1000 * time.time())
            upstream.has_ended.clear()

    async def send_heartbeats(self, sidecar):
        """Send heartbeats to the daemon until the upstream's state is ``gone``."""
        while sidecar.upstream.state != "gone":
            if not sidecar.upstream.has_ended.is_set():
                await self.beat(sidecar)
            await asyncio.sleep(0.2)

    async def beat(self, sidecar):
        """Send one heartbeat; return its status, None if the daemon is unreachable."""
        upstream = sidecar.upstream
        upstream.beats += 1
        url = f"http://127.0.0.1:{sidecar.ports[3]}/-/instances/{upstream.upstream_id}"
        body = {
            "service": upstream.service,
            "address": f"127.0.0.1:{sidecar.ports[4]}",
            "zone": sidecar.settings["zone"],
            "slots": upstream.slots,
            "state": upstream.state,
            "seq": upstream.beats,
            "born": upstream.born,
        }
        try:
            async with self.http.put(url, json=body) as response:
                return response.status
        except aiohttp.ClientError:
            return None

    async def is_ready(self, sidecar):
        """Return whether a daemon reports that it accepts calls."""
        url = f"http://127.0.0.1:{sidecar.ports[2]}/-/readiness"
        try:
            async with self.http.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_until_ready(self, sidecar):
        """Wait until a daemon reports that it accepts calls."""
        await wait_for(lambda: self.is_ready(sidecar))

    async def wait_until_registered(self):
        """Wait until each upstream has an entry in the store, and 1.2 s longer.

        In that time the daemons read the entries.
        """

        async def all_stored():
            entries = [o for (k, _), o in self.store.objects.items() if k != "config"]
            return len(entries) == self.count

        await wait_for(all_stored)
        await asyncio.sleep(1.2)

    async def restart(self, sidecar):
        """Kill a daemon and start it again, without waiting until it is ready."""
        sidecar.signal(signal.SIGKILL)
        await sidecar.process.wait()
        sidecar.process = await sidecar.start(self.folder.name, self.root)

    async def count_requests_after_late_heartbeat(self, sidecar, count=10):
        """Return how many requests an upstream gets that has left.

        The last heartbeat that it sent before arrives late, and ``count`` requests
        follow.
        """
        upstream = sidecar.upstream
        upstream.state, upstream.beats = "ready", max(0, upstream.beats - 1)
        await self.beat(sidecar)
        before = len(upstream.requests)
        for _ in range(count):
            await self.ask(sidecar)
        return len(upstream.requests) - before

    async def ask(self, sidecar, path="/view/1", request_id="r", key=KEY, **headers):
        """Send a caller's request to a daemon; return (status, headers, text).

        In the names of additional headers, ``_`` stands for ``-``.
        """
        sent = {
            "Host": "m.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            "Authorization": f"Token {key}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        method = "POST" if path.startswith("/book") else "GET"
        url = f"http://127.0.0.1:{sidecar.ports[1]}{path}"
        async with self.http.request(method, url, headers=sent) as response:
            return response.status, response.headers, await response.text()

    def ran(self, request_id):
        """Return the headers of every execution of a request, by all upstreams."""
        return [
            headers
            for sidecar in self.sidecars
            for _, headers in sidecar.upstream.requests
            if headers["X-Request-Id"] == request_id
        ]


def run_mesh(scenario, count=2, **options):
    """Start a mesh of ``count`` daemons and run a coroutine function with it.

    For the options see `SidecarMesh`.
    """

    async def run():
        async with SidecarMesh(count, **options) as mesh:
            await scenario(mesh)

    asyncio.run(run())


async def wait_for(condition, timeout_s=START_TIMEOUT_S):
    """Poll a coroutine function until it returns a true value.

    Raises TimeoutError after ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                "the condition was not met in time; the traceback shows which one"
            )
        await asyncio.sleep(0.05)


def has_signal(pid, field, number):
    """Return whether a signal is in a mask of a process, such as ``SigIgn``."""
    text = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in text.splitlines() if line.startswith(field)]
    return bool(int(line.split()[1], 16) >> (number - 1) & 1)
