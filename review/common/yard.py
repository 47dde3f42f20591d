"""A small deployment on loopback addresses, with stand-ins around it.

The programs under review are started with the commands of deploy/system.toml.
The backend servers, the callers, the operator and the platform are the
stand-ins below; they use the standard library only.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
BOUNDS = """
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
FailClosed = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 49
QuotaWindowS = 5
QuotaOvershoot = 0.1
QuotaSlack = 20
RecoverS = 15
"""
HEARTBEAT_S = 1.5
PING_TIMEOUT_S = 1.0
GRACE_S = 6.0
INTERNAL_PORT = 7000
CONTROL_PORT = 8540
INBOUND_PORT = 8543
READY_PORT = 8546
APP_PORT = 8547
OUTBOUND_PORT = 8548
METRICS_PORTS = (9100, 9101)
KEY = "6wsjnbanfqasnmgkcuyj"
HOST = "hulo84.example"


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """The record of a run: a line for each thing sent, answered or run."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._started_s

    def write(self, who, what):
        self._file.write(f"{self.now_s():8.3f} {who:<14} {what}\n")


def free_network():
    """Return the first three parts of a loopback range with free ports."""
    for _ in range(50):
        prefix = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        ports = (
            INTERNAL_PORT,
            CONTROL_PORT,
            READY_PORT,
            APP_PORT,
            OUTBOUND_PORT,
            *METRICS_PORTS,
        )
        try:
            for number in (*range(1, 10), *range(11, 20)):
                for port in ports:
                    with socket.socket() as probe:
                        probe.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        probe.bind((f"{prefix}.{number}", port))
        except OSError:
            continue
        return prefix
    raise CannotRun("no free ports")


class Process:
    """One process of the system, as the platform starts and stops it."""

    def __init__(self, yard, name, role, ip, zone, service=""):
        self.yard = yard
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.service = service
        self.relay_ip = ""
        self.starts = 0
        self.popen = None
        self.settings_path = yard.folder / f"{name}.toml"
        self.log_path = yard.folder / f"{name}.log"

    def start(self):
        self.settings_path.write_text(self._settings())
        deployed = self.yard.deploy["roles"][self.role]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment.update(deployed.get("env", {}))
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FESCUEYARD_BOOT"] = str(self.settings_path)
        if self.relay_ip:
            # Others reach the process through a relay (docs/ref/settings.md).
            environment["FESCUEYARD_LISTEN_ADDRESS"] = (
                f"{self.ip}:{INTERNAL_PORT}"
            )
        log = open(self.log_path, "ab")
        self.popen = subprocess.Popen(
            deployed["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.starts += 1
        self.yard.record.write("platform", f"starts {self.name}")

    def signal(self, number):
        self.yard.record.write(
            "platform", f"{signal.Signals(number).name} to {self.name}"
        )
        self.popen.send_signal(number)

    async def wait(self, timeout_s):
        end_s = time.monotonic() + timeout_s
        while self.popen.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.01)
        return self.popen.poll()

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.wait(5)

    def end(self):
        if self.popen is not None and self.popen.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.popen.send_signal(signal.SIGCONT)
                self.popen.kill()
            self.popen.wait()

    def _settings(self):
        first = "true" if self.starts == 0 else "false"
        is_node = self.role == "node"
        lines = [
            "[Self]",
            f'Node = "{self.name}"',
            f'Role = "{self.role}"',
            f'MachineClass = "{"sidecar" if is_node else "core"}"',
            f'Serves = ["{"sidecar" if is_node else "control"}"]',
            f'Ip = "{self.relay_ip or self.ip}"',
            f'Zone = "{self.zone}"',
            'Region = "region"',
            f"CountsAsLoss = {'false' if is_node else 'true'}",
            f"Bootstrap = {first}",
        ]
        if is_node:
            lines.append(f'AppAddr = "{self.ip}:{APP_PORT}"')
            lines.append(f'Service = "{self.service}"')
        else:
            data = self.yard.folder / f"{self.name}-data"
            data.mkdir(exist_ok=True)
            lines.append(f'DataDir = "{data}"')
        seeds = ",".join(
            f'"{control.relay_ip or control.ip}:{CONTROL_PORT}"'
            for control in self.yard.controls
        )
        lines += [
            "[Self.Limits]",
            "CpuShare = 0.86",
            "Cores = 2",
            "MemoryMb = 300",
            "MaxFds = 4100",
            "LinkMbps = 1000.0",
            "DiskMb = " + ("0" if is_node else "256"),
            "[Network]",
            f"InternalPorts = [{INTERNAL_PORT},{INTERNAL_PORT + 15}]",
            f"Seeds = [{seeds}]",
            "[Network.Listen]",
            f'Control = "{self.ip}:{CONTROL_PORT}"',
        ]
        if is_node:
            lines += [
                f'Inbound = "{self.ip}:{INBOUND_PORT}"',
                f'Outbound = "{self.ip}:{OUTBOUND_PORT}"',
                f'Ready = "{self.ip}:{READY_PORT}"',
            ]
        lines.append("[Network.Zones]")
        lines += [f'{zone} = "region"' for zone in ZONES]
        lines += [
            "[Platform]",
            'Discovery = "static"',
            'Entry = "static"',
            f"HeartbeatMs = {int(HEARTBEAT_S * 1000)}",
            "[Terms]",
            'Contracts = ["base","drain","config","cost","retry","recover",'
            '"pressure","tenants","quota"]',
            "[Terms.FaultTolerance]",
            "Machines = 1",
            "Zones = 1",
            "Regions = 0",
            "[Terms.Bounds]",
        ]
        return "\n".join(lines) + BOUNDS


class Yard:
    """The deployment: control processes, nodes, servers, and their record."""

    def __init__(self, record):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun(
                "target/deps is missing: run the deploy file's build"
            )
        self.prefix = free_network()
        self.controls = []
        self.nodes = []
        self.relay = None

    def add_controls(self, count=3):
        for number in range(count):
            self.controls.append(
                Process(
                    self,
                    f"core-{number + 1}",
                    "control",
                    f"{self.prefix}.{number + 1}",
                    ZONES[number % len(ZONES)],
                )
            )

    def add_node(self, service):
        number = len(self.nodes)
        node = Process(
            self,
            f"sidecar-{number + 1}",
            "node",
            f"{self.prefix}.{number + 4}",
            ZONES[number % len(ZONES)],
            service,
        )
        self.nodes.append(node)
        return node

    def start(self):
        for process in self.controls + self.nodes:
            process.start()

    def add_relays(self):
        """Put a relay, which can cut it off, in front of each process."""
        self.relay = subprocess.Popen(
            ["python3", str(pathlib.Path(__file__).with_name("relay.py"))],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for process in self.controls + self.nodes:
            process.relay_ip = process.ip.replace(
                f"{self.prefix}.", f"{self.prefix}.1", 1
            )
            self.tell_relay(
                f"add {process.name} {process.relay_ip} {process.ip}"
                f" {INTERNAL_PORT}"
            )

    def tell_relay(self, command):
        self.relay.stdin.write(command.encode() + b"\n")
        self.relay.stdin.flush()
        if self.relay.stdout.readline() != b"done\n":
            raise CannotRun(f"relay: {command}")
        if not command.startswith("add"):
            self.record.write("network", command)

    def end(self):
        if self.relay is not None:
            self.relay.kill()
            self.relay.wait()
        for process in self.nodes + self.controls:
            process.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", str(self.folder), keep], check=False)
        self._temporary.cleanup()

    async def configure(self, document, timeout_s=30):
        """Send a configuration until it is acknowledged."""
        version = document["Version"]
        body = json.dumps(document).encode()
        end_s = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < end_s:
            control = self.controls[number % len(self.controls)]
            number += 1
            with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError):
                answer = await request(
                    control.ip,
                    CONTROL_PORT,
                    "PUT",
                    "/v1/config",
                    {"Host": control.ip, "Content-Type": "application/json"},
                    body,
                    timeout_s=2,
                )
                if answer.status == 200:
                    self.record.write(
                        "operator",
                        f"{version} acknowledged by {control.name}",
                    )
                    return
                self.record.write(
                    "operator", f"{version} answered {answer.status}"
                )
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    async def await_served(self, target, node, method="GET", timeout_s=30):
        """Wait until a request through a node is answered with success."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError):
                answer = await call(node, method, target, timeout_s=3)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.2)
        raise CannotRun(f"{node.name} doesn't serve {target}")


def configuration(
    version, base, routes, services, rate_per_s=2000, burst=2000
):
    """Build a configuration as in PROTOCOL.md.

    :param routes: list of (name, prefix, service, type, timeout ms).
    :param rate_per_s: allowance of the only tenant.
    :param burst: its burst.
    """
    return {
        "Version": f"r{version}",
        "BaseVersion": f"r{base}" if base else 0,
        "Routes": [
            {
                "Name": name,
                "Host": HOST,
                "PathPrefix": prefix,
                "Type": kind,
                "TimeoutMs": timeout_ms,
                "SloMs": 2000,
                "Priority": 0,
                "Service": service,
                "Attempts": 2,
                "Public": False,
            }
            for name, prefix, service, kind, timeout_ms in routes
        ],
        "Services": [
            {
                "Name": service,
                "HealthPath": "/healthz",
                "MaxConns": 532,
                "Protocol": "h1",
                "Tls": False,
            }
            for service in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {
                "Name": "pulo780",
                "ApiKeys": [KEY],
                "Priority": 1,
                "RatePerS": rate_per_s,
                "Burst": burst,
            }
        ],
    }


class Answer:
    """An HTTP answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Read the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def request(ip, port, method, target, headers, body=b"", timeout_s=10):
    """Send one request on a new connection and read the whole answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(encode_request(method, target, headers, body))
            first, answer_headers = await read_head(reader)
            length = int(answer_headers.get("content-length", "0"))
            answer_body = await reader.readexactly(length)
            return Answer(int(first.split()[1]), answer_headers, answer_body)
        finally:
            writer.close()


def encode_request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def call_headers(attempt_id, deadline_ms=6000):
    return {
        "Host": HOST,
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


def new_attempt_id():
    return f"{random.getrandbits(64):016x}"


async def call(
    node,
    method,
    target,
    body=b"",
    attempt_id="",
    timeout_s=8,
    deadline_ms=6000,
):
    """Send one client attempt to the node of a machine."""
    return await request(
        node.ip,
        OUTBOUND_PORT,
        method,
        target,
        call_headers(attempt_id or new_attempt_id(), deadline_ms),
        body,
        timeout_s,
    )


class Server:
    """A sound backend server beside a node, as PROTOCOL.md describes it.

    :param make_body: function from the target to the body of the answer.
    :param quiet: leave single runs out of the record.
    """

    def __init__(
        self, yard, node, service, slots=16, make_body=None, quiet=False
    ):
        self.yard = yard
        self.quiet = quiet
        self.node = node
        self.service = service
        self.slots = slots
        self.make_body = make_body or (lambda target: b"done\n")
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.name = f"server-{node.name.rpartition('-')[2]}"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.healthy = True
        self.runs = []
        self.running = 0
        self._server = None
        self._pings = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.node.ip, APP_PORT
        )
        self._pings = asyncio.create_task(self._ping_regularly())

    def ping_body(self):
        self.sequence += 1
        return json.dumps(
            {
                "Address": f"{self.node.ip}:{APP_PORT}",
                "Info": {
                    "Service": self.service,
                    "Version": "v1",
                    "Zone": self.node.zone,
                    "Slots": self.slots,
                },
                "Status": {
                    "State": self.state,
                    "Sequence": self.sequence,
                    "ColdLeftMs": 0,
                },
                "born": self.born_ms,
            }
        ).encode()

    async def tell(self, method, body=b""):
        """Send a ping or a DELETE to the node; return its status or 0."""
        try:
            answer = await request(
                self.node.ip,
                CONTROL_PORT,
                method,
                f"/v1/instances/{self.instance}",
                {"Host": self.node.ip, "Content-Type": "application/json"},
                body,
                PING_TIMEOUT_S,
            )
            status = answer.status
        except (OSError, asyncio.TimeoutError, EOFError):
            status = 0
        text = body.decode() if body else ""
        self.yard.record.write(
            self.name,
            f"{method} {self.instance} {text} -> {status or 'no ack'}",
        )
        return status

    async def _ping_regularly(self):
        while True:
            asyncio.create_task(self.tell("PUT", self.ping_body()))
            await asyncio.sleep(HEARTBEAT_S)

    def stop_pings(self):
        if self._pings is not None:
            self._pings.cancel()
            self._pings = None

    def exit(self):
        """End as a process does: the listener and all connections close."""
        self.stop_pings()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.yard.record.write(self.name, f"{self.instance} exits")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                writer.write(await self._answer(method, target, headers, body))
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, headers, body):
        if target.startswith("/healthz"):
            good = self.healthy and self.state == "ready"
            return self._encode(
                200 if good else 503, {"X-Instance-Id": self.instance}, b""
            )
        attempt_id = headers.get("x-attempt-id")
        if attempt_id is None:
            return self._encode(400, {"X-Not-Run": "1"}, b"")
        echo = {"X-Attempt-Id": attempt_id}
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.instance):
            return self._encode(421, echo | {"X-Not-Run": "1"}, b"")
        if self.running >= self.slots:
            return self._encode(503, echo | {"X-Not-Run": "1"}, b"")
        self.running += 1
        at_s = self.yard.record.now_s()
        self.runs.append((at_s, attempt_id, method, target))
        self._note(
            f"runs {attempt_id} {method} {target} ({len(body)} bytes)"
            f" for {headers.get('x-tenant')} from {headers.get('x-caller')}",
        )
        try:
            await asyncio.sleep(self._work_s(target))
        finally:
            self.running -= 1
        answer_body = self.make_body(target)
        self._note(f"answers {attempt_id} 200 ({len(answer_body)} bytes)")
        stamp = (
            f"3e1b.07.{len(self.runs):x}.600.0.{random.getrandbits(32):08x}"
        )
        return self._encode(
            200, echo | {"X-Instance-Stamp": stamp}, answer_body
        )

    def _note(self, what):
        if not self.quiet:
            self.yard.record.write(self.name, what)

    @staticmethod
    def _work_s(target):
        _, _, query = target.partition("?work_ms=")
        return int(query) / 1000 if query.isdigit() else 0.02

    @staticmethod
    def _encode(status, headers, body):
        reason = {200: "OK", 400: "Bad Request", 421: "Misdirected Request"}
        lines = [f"HTTP/1.1 {status} {reason.get(status, 'Unavailable')}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Keep-Alive: timeout=10"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def main(case, record_path, trouble):
    """Run a case and exit as the issue asks.

    :param case: coroutine function of the yard and whether there is trouble;
        it returns whether the rule held.
    :param record_path: where the record is written.
    :param trouble: whether the disruption takes place.
    """
    record = Record(record_path)
    record.write("case", f"trouble {'on' if trouble else 'off'}")
    yard = None
    try:
        yard = Yard(record)
        held = asyncio.run(_bounded(case, yard, trouble))
        code = 0 if held else 1
    except (CannotRun, TimeoutError, OSError) as error:
        record.write("case", f"could not run: {error!r}")
        code = 2
    finally:
        if yard is not None:
            yard.end()
    record.write("case", f"exit {code}")
    # Connections of the stand-ins may still be open.
    os._exit(code)


async def _bounded(case, yard, trouble):
    async with asyncio.timeout(110):
        return await case(yard, trouble)
