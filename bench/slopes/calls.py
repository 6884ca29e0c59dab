"""CPU time of a daemon by the calls that it answers."""

import concurrent.futures
import contextlib
import http.client
import time

import anyio

from bench.slopes.fit import read_cpu, read_rss, report
from bench.slopes.meshes import list_daemons, make_plan
from bench.slopes.records import make_board, make_request
from egretlift.daemon.gossip import make_gossip
from egretlift.transport.codec import pack_request
from egretlift.transport.control import call_control, close_channels
from egretlift.transport.generated import control_pb2 as pb
from integration.meshes import make_key, prepare_mesh, wait_for
from standins.mesh import call_json, port_of, read_state, run_mesh


def measure_control():
    """Print the CPU time of a daemon by the control calls that it answers.

    The CPU time that the daemon uses when idle is subtracted.
    """
    with run_mesh(make_plan(1, 1)) as mesh:
        prepare_mesh(mesh, {"o1": (1e6, 1e6)})
        host = next(iter(mesh.hosts))
        wait_for(
            lambda: read_state(mesh, host)["zone_lease"]["held"],
            20,
            "the zone lease is not held",
        )
        pid = list_daemons(mesh)[0]
        endpoint = ("127.0.0.1", port_of(mesh, f"daemon/{host}", "control"))
        secret = mesh.plan["secret"]
        board = make_board(1, 4, 18)
        messages = {
            "Gossip": make_gossip(board),
            "Allocate": pack_request(make_request(1, "o1")),
            "Probe": pb.ProbeRequest(),
        }
        idle = measure_cpu_while(pid, lambda: time.sleep(3)) / 3
        for name, message in messages.items():

            async def send(count, name=name, message=message):
                channels = {}
                for _ in range(count):
                    await call_control(channels, secret, endpoint, name, message, 5)
                close_channels(channels)

            server, client = [], []
            for count in (500, 1000, 2000):
                started, client_cpu_before = time.monotonic(), time.process_time()
                used = measure_cpu_while(pid, lambda n=count: anyio.run(send, n))
                used -= idle * (time.monotonic() - started)
                server.append((count, used))
                client.append((count, time.process_time() - client_cpu_before))
            report(f"{name}: CPU of the daemon by calls answered", server, "s")
            report(f"{name}: CPU of the sender by calls", client, "s")


def measure_cpu_while(pid, run):
    """Return the CPU seconds that a process uses while a function runs."""
    before = read_cpu(pid)
    run()
    return read_cpu(pid) - before


def send_calls(port, count, connections=8):
    """Send calls over parallel connections and return how many got status 200."""

    def send(part):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        whole = 0
        with contextlib.closing(connection):
            for _ in range(part):
                headers = {"authorization": f"Bearer {make_key('o1')}"}
                connection.request("GET", "/calendar", headers=headers)
                response = connection.getresponse()
                response.read()
                whole += response.status == 200
        return whole

    with concurrent.futures.ThreadPoolExecutor(connections) as pool:
        return sum(pool.map(send, [count // connections] * connections))


def measure_calls():
    """Print the CPU time of daemons by calls, executed on the first or second host."""
    with run_mesh(make_plan(2, 1)) as mesh:
        prepare_mesh(mesh, {"o1": (1e6, 1e6)})
        hosts = list(mesh.hosts)
        first, second = list_daemons(mesh)
        time.sleep(3)
        port = port_of(mesh, f"daemon/{hosts[0]}", "caller")
        print(f"warm up: {send_calls(port, 400)} of 400 whole", flush=True)
        for name in ("one host", "two hosts"):
            if name == "two hosts":
                # The upstream of the first host stops announcing itself, so that host
                # forwards every call to the second one.
                upstream = port_of(mesh, f"upstream/{hosts[0]}", "http")
                call_json(upstream, "POST", "/stand-in/behaviour", {"announce": False})
                call_json(
                    port_of(mesh, f"daemon/{hosts[0]}", "upstream"), "POST", "/drain"
                )
                time.sleep(1)
                send_calls(port, 400)
            entry, other = [], []
            for count in (800, 1600, 3200):
                before = read_cpu(first), read_cpu(second)
                started = time.monotonic()
                whole = send_calls(port, count)
                rate = count / (time.monotonic() - started)
                entry.append((count, read_cpu(first) - before[0]))
                other.append((count, read_cpu(second) - before[1]))
                print(f"{name}: {whole} of {count} whole, {rate:.0f} calls/s")
            report(f"{name}: CPU of the entry daemon by calls", entry, "s")
            report(f"{name}: CPU of the other daemon by calls", other, "s")
        resident = read_rss(first), read_rss(second)
        print(f"resident after the calls: {[n / 2**20 for n in resident]} MB")
