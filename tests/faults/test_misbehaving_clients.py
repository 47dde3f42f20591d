"""Crowds of misbehaving clients at every HTTP listener.

They guard against a process that ends, or outgrows the memory or the
descriptors of its VM, through what clients outside anyone's control send. No
test asserts a time or the share of the requests that are served.
"""

import time

import pytest

from demo import fleet as fleets
from fescueyard.management import client
from tests.faults import crowds

# The memory that the tests' settings give each process is the bound of its
# resident memory, and their descriptors are the bound of its descriptors.
# Neither is derived from a measurement.
MEMORY_MB = 128
MEMORY_BYTES = MEMORY_MB * 1024 * 1024
DESCRIPTORS = 320
BODY_BYTES_MAX = 4 * 1024 * 1024
SETTINGS = {"memory_mb": MEMORY_MB, "fds_max": DESCRIPTORS}
# 48 bodies of 4 MiB are 1.5 times the memory of a node. The limit of bodies of
# the administration API is 16 MiB, so 16 of them are twice its memory.
NODE_CROWD = 48
CONTROL_CROWD = 16
CONTROL_BODY_BYTES_MAX = 16 * 1024 * 1024
# More than a node's descriptors, in each of the crowds that only connect.
CONNECTION_CROWD = 400
# Short header fields of one request head, which are refused as too large
# today, after all of them were kept.
FIELDS = b"a:b\r\n" * 200_000
HEADS = 64
# 64 KiB, what the kernel keeps for a socket that is not read at first, of the
# shortest requests. Behind a response that is not read they have to wait.
PIPELINED = b"GET / HTTP/1.1\r\n\r\n" * 3_600
FIRST_RESPONSE_BYTES = 4 * 1024 * 1024
PIPELINING_CROWD = 128
# Listeners that answer at once take much processor time for each connection.
IMMEDIATE_CROWD = 8
DEADLINE_MS = 9_000
# 48 responses of 6 MiB are twice the memory of a node. The kernel's buffers
# hold at most 4 MiB of each.
RESPONSE_BYTES = 6 * 1024 * 1024
SLOTS = 4
ORDINARY_TIMEOUT_S = 15.0
CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"

# The listener that a crowd connects to, and the method and path it requests.
TARGETS = {
    "route": ("callers", "POST", "/orders/work"),
    "no route": ("callers", "POST", "/nowhere/work"),
    "readiness": ("ready", "POST", "/"),
    "backend": ("backend", "POST", "/orders/work"),
    "announcements": ("backend", "POST", "/-/announce"),
    "metrics": ("metrics", "POST", "/metrics"),
    "administration": ("admin", "PUT", "/v1/document"),
    "unknown order": ("admin", "PUT", "/v1/nothing"),
    "control metrics": ("control metrics", "POST", "/metrics"),
}


class _Site:
    """A control process and a node with a backend server."""

    def __init__(self, folder):
        self.fleet = fleets.Fleet(folder)
        fleet = self.fleet
        ready, metrics, control_metrics = (
            fleet.new_address() for _ in range(3)
        )
        self.control = fleet.add_control(
            "zone-a", metrics_address=control_metrics, **SETTINGS
        )
        self.node = fleet.add_node(
            "zone-a",
            "orders",
            slots=SLOTS,
            ready_address=ready,
            metrics_address=metrics,
            body_bytes_max=BODY_BYTES_MAX,
            answer_bytes_max=RESPONSE_BYTES,
            **SETTINGS,
        )
        self.addresses = {
            "callers": self.node.caller_address,
            "backend": self.node.backend_address,
            "ready": ready,
            "metrics": metrics,
            "admin": self.control.admin_address,
            "control metrics": control_metrics,
        }
        fleet.configure("orders", profile={"deadline_default_ms": DEADLINE_MS})
        fleet.await_ready("orders", fleet.keys["board"])

    def owner(self, listener):
        """Return the owner of a listener: the node or the control process."""
        is_control = listener in ("admin", "control metrics")
        return self.control if is_control else self.node

    def head(self, target, headers):
        """Build a request head for a target, with the credentials it needs."""
        listener, method, path = TARGETS[target]
        secret = self.fleet.keys["board"]
        if listener == "admin":
            secret = self.fleet.token
        return (
            f"{method} {path} HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: Bearer {secret}\r\n{headers}"
        ).encode()

    def await_answer(self, owner):
        """Send one ordinary request until it is answered."""
        deadline_s = time.monotonic() + ORDINARY_TIMEOUT_S
        while not self._is_answered(owner):
            assert time.monotonic() < deadline_s, "no ordinary request passes"
            time.sleep(0.1)

    def _is_answered(self, owner):
        try:
            if owner is self.control:
                return "term" in self.fleet.api(2_000).read("/v1/status")
            key = self.fleet.keys["board"]
            response = self.fleet.call(
                owner, "/orders/work", key, "POST", b"x"
            )
            return response.status == 200
        except client.Unreachable:
            return False

    def restart_if_spoiled(self, owner):
        """Restart a process that a failed test has left over its bound."""
        process = owner.process
        if process.poll() is None:
            rss_bytes = crowds.rss_bytes(f"/proc/{process.pid}")
            if rss_bytes < MEMORY_BYTES:
                return
            process.kill()
        process.wait()
        if owner is self.control:
            self.fleet.start_control(owner)
        else:
            self.fleet.start_node(owner)
        self.fleet.await_ready("orders", self.fleet.keys["board"])


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """Yield a site whose processes have little memory."""
    started = None
    try:
        started = _Site(tmp_path_factory.mktemp("site"))
        yield started
    finally:
        if started is not None:
            started.fleet.kill()


def _check(site, target, crowd_size, parts, takes_all_slots=False, **options):
    """Let a crowd send to a target and check the process behind it.

    :param takes_all_slots: whether the crowd holds all slots of the backend
        server, so that an ordinary request waits until it has left.
    """
    listener = TARGETS[target][0]
    owner = site.owner(listener)
    address = site.addresses[listener]
    process = owner.process
    try:
        with crowds.Watch(process.pid) as watch:
            with crowds.Crowd(address, crowd_size, parts, **options) as crowd:
                crowd.send()
                exit_code = process.poll()
                if watch.rss_max_bytes < MEMORY_BYTES:
                    site.await_answer(owner)
        print(
            f"{target}: {watch.rss_max_bytes / 2**20:.0f} MiB, "
            f"{watch.descriptors_max} descriptors"
        )
        assert exit_code is None
        assert watch.rss_max_bytes < MEMORY_BYTES
        assert watch.descriptors_max <= DESCRIPTORS
        site.await_answer(owner)
    finally:
        site.restart_if_spoiled(owner)


def _body_limits(target):
    if TARGETS[target][0] in ("admin", "control metrics"):
        return CONTROL_CROWD, CONTROL_BODY_BYTES_MAX
    return NODE_CROWD, BODY_BYTES_MAX


@pytest.mark.parametrize("target", TARGETS)
def test_bodies_that_stop_just_short_of_their_end(site, target):
    crowd_size, length = _body_limits(target)
    head = site.head(target, f"Content-Length: {length}\r\n\r\n")
    _check(site, target, crowd_size, [head, bytes(length - 1)])


@pytest.mark.parametrize("target", ["route", "no route", "readiness"])
def test_bodies_in_small_pieces(site, target):
    crowd_size, length = _body_limits(target)
    head = site.head(target, f"Content-Length: {length}\r\n\r\n")
    _check(
        site, target, crowd_size, [head, bytes(length - 1)], piece_bytes=8_192
    )


@pytest.mark.parametrize(
    "target", ["route", "no route", "readiness", "administration"]
)
def test_bodies_in_chunks_that_never_end(site, target):
    crowd_size, length = _body_limits(target)
    head = site.head(target, "Transfer-Encoding: chunked\r\n\r\n")
    chunks = CHUNK * (length // 0x10000)
    _check(site, target, crowd_size, [head, chunks])


@pytest.mark.parametrize("target", ["route", "administration"])
def test_bodies_far_over_the_limit(site, target):
    crowd_size, length = _body_limits(target)
    head = site.head(target, "Transfer-Encoding: chunked\r\n\r\n")
    chunks = CHUNK * (2 * length // 0x10000)
    _check(site, target, crowd_size, [head, chunks])


@pytest.mark.parametrize("target", TARGETS)
def test_heads_of_very_many_short_fields(site, target):
    head = site.head(target, "Content-Length: 0\r\n")
    _check(site, target, HEADS, [head, FIELDS, b"\r\n"])


@pytest.mark.parametrize("target", ["route", "readiness", "administration"])
def test_head_with_a_field_that_never_ends(site, target):
    head = site.head(target, "Endless: ")
    _check(site, target, HEADS, [head, b"x" * (8 * 1024 * 1024)])


def _request_of_response(site, length):
    """Build a request whose response has a body of some length."""
    path = f"/orders/work?body=x&times={length}"
    request = site.head("route", "Content-Length: 0\r\n\r\n")
    return request.replace(b"/orders/work", path.encode())


def test_pipelined_requests_behind_a_response_that_is_not_read(site):
    first = _request_of_response(site, FIRST_RESPONSE_BYTES)
    _check(
        site,
        "route",
        PIPELINING_CROWD,
        [first + PIPELINED],
        receive_buffer_bytes=4_096,
        hold_s=1.0,
    )


@pytest.mark.parametrize("target", ["no route", "readiness", "administration"])
def test_pipelined_requests_whose_responses_are_not_read(site, target):
    _check(
        site,
        target,
        IMMEDIATE_CROWD,
        [PIPELINED],
        receive_buffer_bytes=4_096,
    )


def test_large_responses_that_are_not_read(site):
    request = _request_of_response(site, RESPONSE_BYTES)
    _check(
        site,
        "route",
        NODE_CROWD,
        [request],
        receive_buffer_bytes=4_096,
        hold_s=2.0,
    )


@pytest.mark.parametrize(
    "target", ["route", "readiness", "metrics", "administration"]
)
def test_connections_that_stop_half_way_in_a_head(site, target):
    _check(site, target, CONNECTION_CROWD, [b"POST /orders/work HT"])
