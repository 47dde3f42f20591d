"""A small installation of real processes on loopback, for the cases.

The project's programs are started with the ``run`` lines of the deploy file,
each with a settings file of the form that DEPLOY.md shows. Every machine has
an address of its own in 127.0.0.0/8, so that ports can be the same on all
machines. Clients, servers and the operator are stand-ins in this process.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("thrissur-a", "thrissur-b", "chalakudy")
CONTROL_PORT = 8540
OUTBOUND_PORT = 8548
READY_PORT = 8546
APP_PORT = 8547
INBOUND_PORT = 8543
INTERNAL_PORT = 7000
HEARTBEAT_MS = 1500
RESTART_DELAY_S = 0.5
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "FailClosed": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 49,
    "QuotaWindowS": 5,
    "QuotaOvershoot": 0.1,
    "QuotaSlack": 20,
    "RecoverS": 15,
}


class Record:
    """What was sent, answered and run; one line each, with the time."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._start_s = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")


class Machine:
    """One machine: its address, its settings and its process."""

    def __init__(self, kind, name, ip, zone, service, limits, folder):
        self.kind = kind
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.limits = limits
        self.folder = folder
        self.process = None
        self.ends = []
        self.starts = 0

    def address(self, port):
        """Return an address of this machine."""
        return f"{self.ip}:{port}"


class Installation:
    """Machines of class ``core`` and ``sidecar``.

    :param services: for each sidecar, its service.
    :param core_count: number of core machines.
    :param sidecar_limits: values of ``Self.Limits`` of the sidecars.
    """

    def __init__(self, record, services, core_count=3, sidecar_limits=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self._deploy = tomllib.load(file)
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.cores = []
        self.sidecars = []
        limits = {
            "CpuShare": 0.645,
            "Cores": 2,
            "MemoryMb": 296,
            "MaxFds": 4096,
            "LinkMbps": 1000.0,
            "DiskMb": 256,
        }
        for number in range(core_count):
            self.cores.append(
                self._machine(
                    "core", number, f"{net}.{number + 1}", "", limits
                )
            )
        limits = {
            "CpuShare": 0.86,
            "Cores": 2,
            "MemoryMb": 300,
            "MaxFds": 4100,
            "LinkMbps": 1000.0,
            "DiskMb": 0,
        }
        limits.update(sidecar_limits or {})
        for number, service in enumerate(services):
            self.sidecars.append(
                self._machine(
                    "sidecar", number, f"{net}.{number + 101}", service, limits
                )
            )
        self.machines = self.cores + self.sidecars

    def _machine(self, kind, number, ip, service, limits):
        zone = ZONES[number % len(ZONES)]
        name = f"{kind}-{zone}-{number // len(ZONES) + 1}"
        folder = self.folder / name
        (folder / "data").mkdir(parents=True)
        return Machine(kind, name, ip, zone, service, limits, folder)

    def start(self):
        """Start all processes, as at the first start of the system."""
        for machine in self.machines:
            self.start_process(machine, bootstrap=True)

    def start_process(self, machine, bootstrap=False):
        """Start or restart the process of a machine."""
        settings = self.write_settings(machine, bootstrap)
        role = self._deploy["roles"][
            "control" if machine.kind == "core" else "node"
        ]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "FESCUEYARD_BOOT": str(settings),
            **role["env"],
        }
        with open(machine.folder / "log", "ab") as log:
            machine.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=os.setpgrp,
            )
        machine.starts += 1
        self.record(f"start {machine.name} {machine.ip} {machine.service}")

    def write_settings(self, machine, bootstrap=False, turn=0):
        """Write the settings file of a machine.

        :param turn: by how many places the seeds are turned.
        :returns: path of the file.
        """
        path = machine.folder / "settings.toml"
        new_path = machine.folder / "settings.new"
        new_path.write_text(self._settings(machine, bootstrap, turn))
        new_path.rename(path)
        return path

    def _settings(self, machine, bootstrap, turn):
        core = machine.kind == "core"
        seeds = [core.address(CONTROL_PORT) for core in self.cores[:3]]
        seeds = seeds[turn:] + seeds[:turn]
        own = {
            "Node": machine.name,
            "Role": "control" if core else "node",
            "MachineClass": machine.kind,
            "Serves": ["control" if core else "sidecar"],
            "Ip": machine.ip,
            "Zone": machine.zone,
            "Region": "kerala-central",
            "CountsAsLoss": core,
            "Bootstrap": bootstrap,
        }
        listen = {"Control": machine.address(CONTROL_PORT)}
        if core:
            own["DataDir"] = str(machine.folder / "data")
        else:
            own["AppAddr"] = machine.address(APP_PORT)
            own["Service"] = machine.service
            listen["Inbound"] = machine.address(INBOUND_PORT)
            listen["Outbound"] = machine.address(OUTBOUND_PORT)
            listen["Ready"] = machine.address(READY_PORT)
        tables = {
            "Self": own,
            "Self.Limits": machine.limits,
            "Network": {
                "InternalPorts": [INTERNAL_PORT, INTERNAL_PORT + 15],
                "Seeds": seeds,
            },
            "Network.Listen": listen,
            "Network.Zones": {zone: "kerala-central" for zone in ZONES},
            "Platform": {
                "Discovery": "static",
                "Entry": "static",
                "HeartbeatMs": HEARTBEAT_MS,
            },
            "Terms": {
                "Contracts": [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "retry",
                    "recover",
                    "pressure",
                    "tenants",
                    "quota",
                ]
            },
            "Terms.FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Terms.Bounds": BOUNDS,
        }
        lines = []
        for name, values in tables.items():
            lines.append(f"[{name}]")
            lines += [f"{key} = {json.dumps(v)}" for key, v in values.items()]
        return "\n".join(lines) + "\n"

    async def watch(self):
        """Restart processes that end, as the platform does."""
        while True:
            for machine in self.machines:
                process = machine.process
                if process is None or process.poll() is None:
                    continue
                self.record(f"ended {machine.name}: {process.returncode}")
                machine.ends.append(process.returncode)
                machine.process = None
                asyncio.get_running_loop().call_later(
                    RESTART_DELAY_S, self.start_process, machine
                )
            await asyncio.sleep(0.02)

    def stop(self):
        """Kill all processes and remove the folder."""
        for machine in self.machines:
            if machine.process is not None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def put_configuration(self, configuration, node=None, tries=60):
        """Send a configuration as the operator does, until it is clear.

        :returns: the status.
        """
        body = json.dumps(configuration).encode()
        for number in range(tries):
            core = node or self.cores[number % len(self.cores)]
            try:
                status, _, _ = await request(
                    core.address(CONTROL_PORT),
                    "PUT",
                    "/v1/config",
                    {"Content-Type": "application/json"},
                    body,
                    timeout_s=2.0,
                )
            except (OSError, asyncio.TimeoutError, EOFError):
                status = 0
            self.record(f"PUT {configuration['Version']} -> {status}")
            if status in (200, 400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(0.3)
        return 0

    async def until_ready(self, timeout_s=20.0):
        """Wait until every sidecar is ready."""
        end_s = time.monotonic() + timeout_s
        waiting = list(self.sidecars)
        while waiting and time.monotonic() < end_s:
            still = []
            for machine in waiting:
                try:
                    status, _, _ = await request(
                        machine.address(READY_PORT), "GET", "/v1/ready"
                    )
                except (OSError, asyncio.TimeoutError, EOFError):
                    status = 0
                if status != 200:
                    still.append(machine)
            waiting = still
            await asyncio.sleep(0.1)
        return not waiting


def configuration(number, routes, services, base=0, tenants=()):
    """Build a configuration like that of PROTOCOL.md."""
    return {
        "Version": f"r{number}",
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/healthz",
                "MaxConns": 484,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": list(tenants),
        "BaseVersion": f"r{base}" if base else 0,
    }


def route(name, host, prefix, kind, service, timeout_ms=10000, **fields):
    """Build a route."""
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": timeout_ms,
        "SloMs": 1500,
        "Priority": 0,
        "Service": service,
        "Attempts": 2,
        "Public": False,
        **fields,
    }


async def read_head(reader):
    """Read the head of a message: first line and headers in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Read a body by its length or its chunks, or up to the close."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


async def request(
    address,
    method,
    path,
    headers=None,
    body=b"",
    timeout_s=3.0,
):
    """Send a request on a new connection.

    :returns: status, headers and body.
    """
    async with asyncio.timeout(timeout_s):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, **(headers or {})}
            if body or method not in ("GET", "DELETE"):
                fields["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in fields.items()]
            head = ("\r\n".join(lines) + "\r\n\r\n").encode()
            writer.write(head + body)
            await writer.drain()
            first, answer_headers = await read_head(reader)
            answer = await read_body(reader, answer_headers)
            return int(first.split()[1]), answer_headers, answer
        finally:
            writer.transport.abort()


class Connection:
    """A client's connection, which is kept for several requests.

    :param receive_bytes: size of the receive buffer; None for the default.
    """

    def __init__(self, address, receive_bytes=None):
        self._address = address
        self._receive_bytes = receive_bytes
        self._reader = None
        self._writer = None

    async def open(self):
        """Connect."""
        host, _, port = self._address.rpartition(":")
        connected = socket.socket()
        connected.setblocking(False)
        if self._receive_bytes:
            connected.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
            )
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connected, (host, int(port)))
        self._reader, self._writer = await asyncio.open_connection(
            sock=connected, limit=1 << 16
        )

    async def send(self, method, path, headers, body=b""):
        """Send a request."""
        lines = [f"{method} {path} HTTP/1.1"]
        fields = dict(headers)
        if body or method not in ("GET", "DELETE"):
            fields["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self._writer.drain()

    async def receive(self, bytes_per_s=None):
        """Receive an answer, at a pace.

        :returns: status, headers, length of the body.
        """
        first, headers = await read_head(self._reader)
        left = int(headers.get("content-length", 0))
        length = left
        while left:
            data = await self._reader.read(min(left, 1 << 16))
            if not data:
                raise EOFError("answer ends early")
            left -= len(data)
            if bytes_per_s:
                await asyncio.sleep(len(data) / bytes_per_s)
        return int(first.split()[1]), headers, length

    def close(self):
        """Close at once."""
        if self._writer is not None:
            self._writer.transport.abort()


class Server:
    """An application server that follows PROTOCOL.md.

    :param machine: the machine that it runs on.
    :param slots: requests that it runs at once.
    """

    def __init__(self, record, machine, slots=64):
        self.record = record
        self.machine = machine
        self.slots = slots
        self.instance = f"i-{random.getrandbits(40):010x}"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.read_pause_s = 0.0
        self.work_s = 0.05
        self.answer_bytes = 0
        self._tasks = []
        self._server = None

    async def start(self):
        """Listen, and report to the node."""
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, APP_PORT, limit=1 << 16
        )
        self._tasks.append(asyncio.create_task(self._beat()))

    def ping_body(self):
        """Return the body of a ping."""
        return {
            "Address": self.machine.address(APP_PORT),
            "Info": {
                "Service": self.machine.service,
                "Version": "v1",
                "Zone": self.machine.zone,
                "Slots": self.slots,
            },
            "Status": {
                "State": self.state,
                "Sequence": self.sequence,
                "ColdLeftMs": 0,
            },
            "born": self.born_ms,
        }

    async def _beat(self):
        while True:
            self.sequence += 1
            try:
                await request(
                    self.machine.address(CONTROL_PORT),
                    "PUT",
                    f"/v1/instances/{self.instance}",
                    {"Content-Type": "application/json"},
                    json.dumps(self.ping_body()).encode(),
                    timeout_s=1.0,
                )
                await asyncio.sleep(HEARTBEAT_MS / 1000)
            except (OSError, EOFError):
                await asyncio.sleep(0.3)

    def stop_pings(self):
        """Send no further pings."""
        for task in self._tasks:
            task.cancel()

    def health_status(self):
        """Return the status of the health path."""
        return 200

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                if path == "/healthz":
                    self._write(writer, self.health_status(), {}, b"ok")
                    continue
                expected = headers.get("x-expect-instance", self.instance)
                await self.handle(
                    method, path, headers, reader, writer, expected
                )
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def handle(self, method, path, headers, reader, writer, expected):
        """Read the rest of a request, run it and answer."""
        attempt = headers.get("x-attempt-id", "")
        left = int(headers.get("content-length", 0))
        size = left
        while left:
            data = await reader.read(min(left, 1 << 16))
            if not data:
                raise EOFError
            left -= len(data)
            if self.read_pause_s:
                await asyncio.sleep(self.read_pause_s)
        if expected != self.instance:
            self._write(writer, 421, {"X-Attempt-Id": attempt}, b"")
            return
        self.runs.append(attempt)
        self.record(f"run {attempt} at {self.machine.name} {size} bytes")
        await asyncio.sleep(0.01 if size == 1 else self.work_s)
        answer = b"done " + attempt.encode()
        if size != 1 and self.answer_bytes:
            answer = bytes(self.answer_bytes)
        self.record(f"answer by {self.machine.name} of {attempt}")
        self.write_answer(writer, attempt, answer)

    def write_answer(self, writer, attempt, answer):
        """Answer a request with success."""
        self._write(writer, 200, {"X-Attempt-Id": attempt}, answer)

    def _write(self, writer, status, headers, body):
        fields = {
            "X-Instance-Id": self.instance,
            "X-Instance-Stamp": f"{self.instance}.{len(self.runs)}",
            "Content-Length": str(len(body)),
            "Keep-Alive": "timeout=10",
            **headers,
        }
        if not headers.get("X-Attempt-Id", "-"):
            del fields["X-Attempt-Id"]
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class MemoryLimit(threading.Thread):
    """Kills processes that use more than ``MemoryMb``, as the platform does.

    :ivar peaks_mb: largest resident memory seen, by name of the machine.
    """

    def __init__(self, installation):
        super().__init__(daemon=True)
        self.peaks_mb = {}
        self._installation = installation
        self._stopped = False

    def run(self):
        """Watch until :meth:`stop` is called."""
        killed = set()
        while not self._stopped:
            for machine in self._installation.machines:
                process = machine.process
                if process is None or process.pid in killed:
                    continue
                used_mb = resident_mb(process.pid)
                name = machine.name
                self.peaks_mb[name] = max(self.peaks_mb.get(name, 0), used_mb)
                if used_mb > machine.limits["MemoryMb"]:
                    process.kill()
                    killed.add(process.pid)
                    self._installation.record(
                        f"killed {name}: {used_mb:.0f} MB of memory"
                    )
            time.sleep(0.005)

    def stop(self):
        """Stop watching."""
        self._stopped = True


def resident_mb(pid):
    """Return the resident memory of a process in MB; 0 when it has ended."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / (1024 * 1024)


def run(play, services, record_path, timeout_s=100.0):
    """Run a case on an installation, and end what was started.

    :param play: coroutine function of the record and the installation that
        returns the exit status: 1 if the rule was broken, 0 if it held, 2 if
        the case couldn't run.
    :param services: for each sidecar, its service.
    :param record_path: file for what was sent, answered and run.
    :param timeout_s: time after which the case couldn't run.
    :returns: the exit status.
    """
    try:
        return asyncio.run(_run(play, services, record_path, timeout_s))
    except (OSError, EOFError) as error:
        print(f"could not run: {error!r}")
    except (asyncio.CancelledError, KeyboardInterrupt):
        print("stopped")
    return 2


async def _run(play, services, record_path, timeout_s):
    record = Record(record_path)
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, lambda: task.cancel()
    )
    installation = Installation(record, services)
    try:
        installation.start()
        watch = asyncio.create_task(installation.watch())
        status = await asyncio.wait_for(play(record, installation), timeout_s)
        watch.cancel()
        return status
    finally:
        installation.stop()
