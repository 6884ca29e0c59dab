"""Invalid input to every port of a daemon, and bodies too large to buffer."""

import concurrent.futures
import gzip
import hashlib
import http.client
import json
import socket
import time
import unittest

import anyio
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError
from nose2.tools import params

from egretlift.transport.control import TOKEN_METADATA, make_token
from integration.meshes import ROUTES, make_key, prepare_mesh, wait_for
from integration.raw import (
    MemoryMonitor,
    RawUpstream,
    digest_text,
    exchange_bytes,
    read_memory,
)
from standins.mesh import (
    call_json,
    is_running,
    log_path,
    make_hosts,
    port_of,
    put_object,
    start_mesh,
    stop_mesh,
    wait_until_ready,
)

KEY = make_key("o1").encode()
SETTINGS = {
    "header_timeout_s": 1,
    "body_gap_s": 1,
    "gossip_period_s": 0.2,
    # The raw upstream announces itself once and does not renew its lease.
    "announcement_lease_s": 600,
}
UNKNOWN_PROFILE_ROUTE = {"method": "GET", "prefix": "/ghost", "profile": "ghost"}
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
LARGE = 50_000_000
MEMORY_LIMIT_MB = 10.0


def keyed(line, headers=b"", body=b"", key=KEY):
    """Return the bytes of a request with an organisation's key.

    ``line`` is the request line without the version; an empty key is left out.
    """
    authorization = b"authorization: Bearer " + key + b"\r\n" if key else b""
    return line + b" HTTP/1.1\r\nhost: x\r\n" + authorization + headers + b"\r\n" + body


def make_announcement(body):
    """Return the bytes of an announcement with the given body."""
    head = b"POST /announce HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
    return head % len(body) + body


POST = b"POST /uploads"
CHUNKED = b"transfer-encoding: chunked\r\n"
# Name, bytes, and status and reason of the answer; None for any reason.
CALLER_CASES = (
    ("garbage line", b"GARBAGE\r\n\r\n", 400, "request-malformed"),
    ("binary", b"\x00\x01\xff\r\n\r\n", 400, "request-malformed"),
    ("tls", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400, "request-malformed"),
    ("version", b"GET / HTTP/9.9\r\nhost: x\r\n\r\n", 400, "request-malformed"),
    ("http/2", PREFACE, 400, "request-malformed"),
    ("no colon", keyed(b"GET /x", b"nocolon\r\n"), 400, "request-malformed"),
    ("space in name", keyed(b"GET /x", b"a b: c\r\n"), 400, "request-malformed"),
    ("zero byte", keyed(b"GET /x", b"a: c\x00\r\n"), 400, "request-malformed"),
    ("no host", b"GET /x HTTP/1.1\r\n\r\n", 400, "request-malformed"),
    ("non-ascii path", keyed(b"GET /x\xff"), 400, "request-malformed"),
    ("long line", keyed(b"GET /" + b"a" * 20000), 431, "request-too-large"),
    ("long header", keyed(b"GET /x", b"a: " + b"b" * 20000), 431, "request-too-large"),
    ("many headers", keyed(b"GET /x", b"a: b\r\n" * 9000), 400, "request-malformed"),
    ("unknown method", keyed(b"FROB /x"), 400, "request-malformed"),
    ("unknown profile", keyed(b"GET /ghost"), 503, "profile-unknown"),
    ("unknown route", keyed(b"GET /a/../b"), 404, "no-route"),
    ("reserved path", keyed(b"GET /egretlift/x"), 404, "no-route"),
    ("length text", keyed(POST, b"content-length: abc\r\n"), 400, "request-malformed"),
    ("length below 0", keyed(POST, b"content-length: -5\r\n"), 400, None),
    ("two lengths", keyed(POST, b"content-length: 5\r\n" * 2, b"hello"), 400, None),
    ("length and chunks", keyed(POST, b"content-length: 5\r\n" + CHUNKED), 400, None),
    ("unknown coding", keyed(POST, b"transfer-encoding: zip\r\n", b"x"), 400, None),
    ("bad chunk", keyed(POST, CHUNKED, b"zz\r\nhello\r\n"), 400, None),
    ("slow body", keyed(POST, b"content-length: 50\r\n", b"x"), 408, "body-too-slow"),
    ("timeout text", keyed(b"GET /x", b"egretlift-timeout-ms: abc\r\n"), 400, None),
    (
        "timeout digit",
        keyed(b"GET /x", b"egretlift-timeout-ms: \xc2\xb2\r\n"),
        400,
        None,
    ),
    (
        "timeout long",
        keyed(b"GET /x", b"egretlift-timeout-ms: " + b"9" * 5000 + b"\r\n"),
        400,
        "timeout-invalid",
    ),
    (
        "identifier long",
        keyed(b"POST /bookings", b"idempotency-key: " + b"k" * 300 + b"\r\n"),
        400,
        "identifier-invalid",
    ),
    ("no key", keyed(b"GET /x", key=b""), 401, "key-missing"),
    ("wrong key", keyed(b"GET /x", key=b"o1.wrong"), 401, "key-unknown"),
    ("binary key", keyed(b"GET /x", key=b"\xff\xfe"), 401, "key-unknown"),
    ("connect", keyed(b"CONNECT example.com:443"), 404, "no-route"),
)
UPSTREAM_CASES = (
    ("no json", make_announcement(b"{"), 400),
    ("no object", make_announcement(b"[]"), 400),
    ("binary", make_announcement(b"\xff\xfe"), 400),
    ("nested", make_announcement(b"[" * 100000), 400),
    ("empty object", make_announcement(b"{}"), 400),
    ("port", make_announcement(b'{"service":"x","port":99999,"routes":[]}'), 400),
    ("routes", make_announcement(b'{"service":"x","port":1,"routes":[{"a":1}]}'), 400),
    ("large", make_announcement(b'"' + b"a" * 1_500_000 + b'"'), 413),
    ("cut", make_announcement(b"{}" + b" " * 98)[:-98], 408),
    ("garbage", b"GARBAGE\r\n\r\n", 400),
    ("unknown token", keyed(b"GET /call/checkout/x", b"egretlift-call: n\r\n"), 409),
    ("unknown service", keyed(b"GET /call/none/x"), 503),
    ("no path", keyed(b"GET /call/x"), 404),
)
WEBSOCKET = (
    b"connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n"
    b"sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
)
OPERATOR_CASES = (
    ("garbage", b"GARBAGE\r\n\r\n", 400),
    ("binary", b"\x00\xff\r\n\r\n", 400),
    ("unknown path", keyed(b"GET /zzz"), 404),
    ("after text", keyed(b"GET /events?after=x"), 400),
    ("after digit", keyed(b"GET /events?after=%C2%B2"), 400),
    ("after long", keyed(b"GET /events?after=" + b"9" * 5000), 400),
    ("websocket", keyed(b"GET /state", WEBSOCKET), 403),
)


def make_frame(kind, flags, stream, payload):
    """Return an HTTP/2 frame."""
    head = len(payload).to_bytes(3, "big") + bytes((kind, flags))
    return head + stream.to_bytes(4, "big") + payload


CONTROL_CASES = (
    b"GARBAGE\r\n\r\n",
    keyed(b"GET /x"),
    PREFACE + b"\xff" * 200,
    PREFACE + make_frame(4, 0, 0, b"") + make_frame(1, 4, 1, b"\xff" * 8),
    PREFACE + make_frame(4, 0, 0, b"") + make_frame(0, 1, 1, b"xxx"),
)


class RawMessage:
    """Stands in for a protobuf message and sends arbitrary bytes."""

    def SerializeToString(self):  # noqa: N802
        """Return bytes that are not a valid message."""
        return b"\xff\xff\xff"

    @staticmethod
    def FromString(data):  # noqa: N802
        """Return the received bytes."""
        return data


class MeshCase(unittest.TestCase):
    """Runs one mesh for all tests of a class.

    After each test all daemons must be running, have logged no traceback, and the
    first must serve a call.
    """

    hosts = 1

    @classmethod
    def setUpClass(cls):
        hosts = make_hosts("checkout", {"a": cls.hosts})
        for host in hosts:
            host["upstream"] = None
        cls.mesh = start_mesh({"hosts": hosts, "settings": SETTINGS})
        cls.addClassCleanup(stop_mesh, cls.mesh)
        cls.upstream = RawUpstream()
        cls.addClassCleanup(cls.upstream.server_close)
        cls.addClassCleanup(cls.upstream.shutdown)
        wait_until_ready(cls.mesh)
        body = {
            "service": "checkout",
            "port": cls.upstream.server_address[1],
            "routes": [*ROUTES, UNKNOWN_PROFILE_ROUTE],
        }
        for number in range(1, cls.hosts + 1):
            port = cls.port("upstream", number)
            status, _ = call_json(port, "POST", "/announce", body)
            assert status == 200
        prepare_mesh(cls.mesh, {"o1": (10000, 10000)})
        wait_for(
            lambda: cls.send_call("/open/a")[0] == 200,
            5,
            "no call without a key succeeded",
        )
        wait_for(
            lambda: cls.send_call("/a")[0] == 200, 5, "no call with a key succeeded"
        )

    @classmethod
    def port(cls, use, number=1):
        """Return a port of a daemon by its use."""
        return port_of(cls.mesh, f"daemon/checkout-a-{number}", use)

    @classmethod
    def process(cls, number=1):
        """Return the process of a daemon."""
        return cls.mesh.processes[f"daemon/checkout-a-{number}"]

    @classmethod
    def send_call(cls, path, method="GET", body=None, headers=(), number=1):
        """Return (status, headers, body) of a call on a new connection."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", cls.port("caller", number), timeout=30
        )
        try:
            keys = {"authorization": f"Bearer {KEY.decode()}", **dict(headers)}
            connection.request(method, path, body, keys)
            answer = connection.getresponse()
            return answer.status, answer.headers, answer.read()
        finally:
            connection.close()

    def read_logs(self):
        """Return the logs of all daemons."""
        names = [f"daemon/checkout-a-{n}" for n in range(1, self.hosts + 1)]
        self.assertTrue(all(is_running(self.mesh, name) for name in names))
        paths = [log_path(self.mesh, name) for name in names]
        return [path.read_text(errors="replace") for path in paths]

    def setUp(self):
        self.lengths = [len(log) for log in self.read_logs()]

    def tearDown(self):
        status, _, body = self.send_call("/calendar")
        self.assertEqual(status, 200, body)
        for log, length in zip(self.read_logs(), self.lengths, strict=True):
            self.assertNotIn("Traceback", log[length:])


class TestInput(MeshCase):
    """Guards against input that stops a daemon, floods its log or gets no answer."""

    @params(*CALLER_CASES)
    def test_caller_port(self, _, data, status, reason):
        answers, _ = exchange_bytes(self.port("caller"), data)
        self.assertEqual(len(answers), 1)
        found, headers, body = answers[0]
        self.assertEqual(found, status, body)
        self.assertEqual(headers["egretlift-outcome"], "refused-not-run")
        self.assertIn("egretlift-reason", headers)
        if reason is not None:
            self.assertEqual(headers["egretlift-reason"], reason)
        self.assertTrue(json.loads(body)["remedy"])

    @params(*UPSTREAM_CASES)
    def test_upstream_port(self, _, data, status):
        answers, _ = exchange_bytes(self.port("upstream"), data)
        found, _, body = answers[0]
        self.assertEqual(found, status, body)
        self.assertIn("remedy", body.decode())

    @params(*OPERATOR_CASES)
    def test_operators_port(self, _, data, status):
        answers, _ = exchange_bytes(self.port("operators"), data)
        self.assertEqual(answers[0][0], status)

    def test_malformed_requests_do_not_fill_the_log(self):
        started = time.monotonic()
        for _ in range(300):
            exchange_bytes(self.port("caller"), b"GARBAGE\r\n\r\n")
        seconds = time.monotonic() - started
        lines = self.read_logs()[0][self.lengths[0] :].count("request-malformed")
        self.assertGreater(lines, 0)
        self.assertLessEqual(lines, 20 * (int(seconds) + 2))

    def test_body_cut_by_a_closed_connection(self):
        for size in (50, 500_000):
            length = b"content-length: %d\r\n" % size
            data = keyed(POST, length, b"hello")
            answers, closed = exchange_bytes(self.port("caller"), data, half_close=True)
            self.assertTrue(closed or answers)
            self.assertEqual([a for a in answers if a[0] < 400], [])

    def test_slow_headers(self):
        answers, closed = exchange_bytes(self.port("caller"), b"GET /x HTTP/1.1\r\n")
        self.assertEqual((answers, closed), ([], True))

    def test_body_longer_than_its_length(self):
        data = keyed(POST, b"content-length: 2\r\n", b"hello\r\n\r\n")
        answers, _ = exchange_bytes(self.port("caller"), data, answer_count=2)
        # The parser may refuse both parts if they arrive together.
        self.assertEqual(answers[-1][0], 400)
        self.assertLessEqual({answer[0] for answer in answers}, {200, 400})

    @params(WEBSOCKET, b"connection: upgrade\r\nupgrade: h2c\r\n")
    def test_upgrade_does_not_block_the_connection(self, headers):
        data = keyed(b"GET /a", headers) + keyed(b"GET /b")
        answers, closed = exchange_bytes(self.port("caller"), data, answer_count=2)
        self.assertEqual(answers[0][0], 200)
        self.assertTrue(closed or len(answers) == 2)

    def test_compressed_body_arrives_unchanged(self):
        body = gzip.compress(b"photograph" * 100)
        status, _, answer = self.send_call(
            "/open/photo", "POST", body, {"content-encoding": "gzip"}
        )
        self.assertEqual(status, 200, answer)
        self.assertEqual(answer.split()[2].decode(), hashlib.sha256(body).hexdigest())
        status, _, answer = self.send_call(
            "/open/photo", "POST", b"no gzip", {"content-encoding": "gzip"}
        )
        self.assertEqual((status, answer.split()[1]), (200, b"7"))

    def test_pipelined_requests(self):
        data = b"".join(keyed(b"GET /slow/%d" % number) for number in range(20))
        answers, _ = exchange_bytes(self.port("caller"), data, answer_count=20)
        paths = [body.split()[0] for _, _, body in answers]
        self.assertEqual(paths, [b"/slow/%d" % number for number in range(20)])

    def test_idle_connections(self):
        before = read_memory(self.process())
        idle = [
            socket.create_connection(("127.0.0.1", self.port("caller")))
            for _ in range(300)
        ]
        status, _, _ = self.send_call("/calendar")
        growth_mb = read_memory(self.process()) - before
        # The timeout for headers must have closed each idle connection by now.
        time.sleep(1.3)
        for connection in idle:
            connection.settimeout(1.0)
            self.assertEqual(connection.recv(1), b"")
            connection.close()
        self.assertEqual(status, 200)
        self.assertLess(growth_mb, MEMORY_LIMIT_MB)

    def test_withdrawn_key(self):
        key = make_key("o2")
        digest = hashlib.sha256(key.encode()).hexdigest()
        put_object(self.mesh, "organisation", "o2", {"rate": 100, "burst": 100})
        put_object(self.mesh, "key", digest, {"organisation": "o2"})
        data = keyed(b"GET /x", key=key.encode())

        def status():
            return exchange_bytes(self.port("caller"), data)[0][0][0]

        wait_for(lambda: status() == 200, 5, "the key is not in force")
        put_object(self.mesh, "key", digest, {"organisation": "o2", "withdrawn": True})
        wait_for(lambda: status() == 401, 5, "the key still works")

    @params(*CONTROL_CASES)
    def test_control_port(self, data):
        exchange_bytes(self.port("control"), data, timeout_s=0.3)
        self.assertEqual(self.call_control(make_token(self.mesh.plan["secret"])), 3)

    def test_control_port_without_token(self):
        for token in (None, make_token("another secret than the mesh's")):
            self.assertEqual(self.call_control(token), 16)

    def call_control(self, token):
        """Return the gRPC status of a call whose message is not valid protobuf."""

        async def call():
            channel = Channel("127.0.0.1", self.port("control"))
            name = "/egretlift.control.Control/Gossip"
            method = UnaryUnaryMethod(channel, name, RawMessage, RawMessage)
            metadata = {TOKEN_METADATA: token} if token else None
            try:
                with anyio.fail_after(3):
                    await method(RawMessage(), metadata=metadata)
            except GRPCError as error:
                return error.status.value
            finally:
                channel.close()

        return anyio.run(call)

    def test_aborted_uploads_do_not_get_others_refused(self):
        for _ in range(20):
            data = keyed(POST, b"content-length: 500000\r\n", b"hello")
            exchange_bytes(self.port("caller"), data, half_close=True)
        reasons = [
            self.send_call("/uploads", "POST", b"whole")[1].get("egretlift-reason")
            for _ in range(20)
        ]
        self.assertEqual(reasons, [None] * 20)


class TestBodies(MeshCase):
    """Guards against buffered bodies, and truncated or mixed-up answers.

    A truncated answer must not be taken for a complete one, and an answer must not
    reach the caller of another request.
    """

    hosts = 2

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        # Host 2 accepts no work for its own upstream, so it forwards to host 1.
        call_json(cls.port("upstream", 2), "POST", "/drain")
        cls.send_call("/open/a", number=2)

    def monitor_memory(self):
        """Return a monitor of the memory of both daemons."""
        return MemoryMonitor([self.process(1), self.process(2)])

    def send_large_upload(self, number):
        """Send a large upload and check that it arrives unchanged."""
        digest = hashlib.sha256()

        def parts():
            for offset in range(0, LARGE, 50_000):
                part = (b"%08d" % offset) * 6250
                digest.update(part)
                yield part

        length = {"content-length": str(LARGE)}
        status, _, body = self.send_call("/uploads", "POST", parts(), length, number)
        self.assertEqual(status, 200, body)
        self.assertEqual(body.split()[1:], [b"%d" % LARGE, digest.hexdigest().encode()])

    @params(1, 2)
    def test_large_upload(self, number):
        self.send_call("/uploads", "POST", b"x" * 200_000, number=number)
        with self.monitor_memory() as monitor:
            self.send_large_upload(number)
        self.assertLess(monitor.growth, MEMORY_LIMIT_MB)

    @params((1, "big"), (2, "big"), (1, "chunked"), (2, "chunked"))
    def test_large_answer(self, number, kind):
        self.send_call(f"/open/{kind}/200000", number=number)
        with self.monitor_memory() as monitor:
            connection = http.client.HTTPConnection(
                "127.0.0.1", self.port("caller", number), timeout=30
            )
            connection.request("GET", f"/open/{kind}/{LARGE}")
            answer = connection.getresponse()
            size = sum(len(part) for part in iter(lambda: answer.read(65536), b""))
            connection.close()
        self.assertEqual(size, LARGE)
        self.assertLess(monitor.growth, MEMORY_LIMIT_MB)

    @params(
        *(
            (n, k, s)
            for n in (1, 2)
            for k in ("cut", "cutchunked")
            for s in (2000, 10**6)
        )
    )
    def test_truncated_answer(self, number, kind, size):
        try:
            status, headers, _ = self.send_call(f"/open/{kind}/{size}", number=number)
        except (http.client.IncompleteRead, ConnectionError):
            return
        self.assertEqual(status, 502)
        self.assertEqual(headers["egretlift-outcome"], "unknown")
        self.assertTrue(headers["egretlift-reason"])

    def test_answers_are_not_mixed_up(self):
        def call(number):
            connection = http.client.HTTPConnection(
                "127.0.0.1", self.port("caller", 1 + number % 2), timeout=30
            )
            wrong = 0
            for turn in range(20):
                path = f"/open/slow/{number}/{turn}"
                body = digest_text(path).encode()
                try:
                    # Every seventh call times out, so that its answer is late.
                    headers = {"egretlift-timeout-ms": "5"} if turn % 7 == 6 else {}
                    connection.request("POST", path, body, headers)
                    answer = connection.getresponse()
                    text = answer.read().decode()
                except (http.client.HTTPException, OSError):
                    connection.close()
                    continue
                expected = f"{path} {len(body)} {hashlib.sha256(body).hexdigest()}"
                wrong += answer.status == 200 and text != expected
            connection.close()
            return wrong

        with concurrent.futures.ThreadPoolExecutor(50) as pool:
            self.assertEqual(sum(pool.map(call, range(50))), 0)


if __name__ == "__main__":
    unittest.main()
