"""Example backend server with paths that succeed, call downstream or fail.

``/call/SERVICE/PATH`` calls another service through the node; ``/echo``
returns the body and headers of the request; ``/crash`` ends the process;
``/short`` truncates its response; ``/drop`` closes the connection without a
response; ``/raw`` sends the bytes of its query's ``response``, with the id of
the request in place of ``{id}``, and closes the connection; ``/endless``
sends those of ``first``, then those of ``repeated`` without end, or
``repeats`` times and then nothing more. Any other path, such as
``/work?ms=5``, responds after ``ms`` milliseconds with the ``status`` and
``body`` of its query, the body repeated ``times`` times. Each request is
appended to the run log as one line of JSON before anything else is done.
"""

import asyncio
import json
import os
import signal
import sys
import time
import urllib.parse

from fescueyard.core import addresses
from fescueyard.core import http
from fescueyard.transport import backend_client
from fescueyard.transport import http_server

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCEMENT_TTL_MS = 2_000
REQUEST_ID_HEADER = "x-request-id"
BODY_BYTES_MAX = 64 * 1024 * 1024
UNSENT_BYTES_MAX = 256 * 1024


class Backend:
    """One example backend server.

    :param options: dict of the options by name: ``address`` to listen on,
        ``node`` (``host:port`` of the node's listener for backend servers),
        ``service``, ``slots`` and ``run_log``.
    """

    def __init__(self, options):
        self._options = options
        self._client = backend_client.BackendClient(
            1_000, BODY_BYTES_MAX, requires_echo=False
        )
        self._server = http_server.HttpServer(self, BODY_BYTES_MAX)
        self._run_log = open(options["run_log"], "a", buffering=1)
        self._connections = {}
        self._request_ids = {}
        self._tasks = set()
        self._draining = False

    async def start(self):
        """Listen for requests and announce the server to its node."""
        address = addresses.parse(self._options["address"])
        await self._server.listen(address)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._start_drain)
        self._announce()

    def request_received(self, exchange_id, request, connection):
        """Handle a request."""
        self._connections[exchange_id] = connection
        self._request_ids[exchange_id] = request.header(REQUEST_ID_HEADER)
        self._log_run(request)
        split = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(split.query))
        if split.path == "/crash":
            os._exit(3)
        if split.path == "/drop":
            connection._transport.abort()
        elif split.path == "/short":
            head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nhalf"
            connection._transport.write(head)
            connection._transport.close()
        elif split.path == "/raw":
            response = _raw_bytes(query["response"], request)
            connection._transport.write(response)
            connection._transport.close()
        elif split.path == "/endless":
            task = asyncio.get_running_loop().create_task(
                _send_without_end(
                    connection._transport,
                    _raw_bytes(query["first"], request),
                    _raw_bytes(query["repeated"], request),
                    float(query.get("repeats", "inf")),
                )
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif split.path == "/echo":
            headers = {header.name: header.value for header in request.headers}
            echo = {"headers": headers, "body": request.body.decode()}
            self._respond(exchange_id, 200, json.dumps(echo).encode())
        elif split.path.startswith("/call/"):
            self._call_downstream(exchange_id, request, split)
        else:
            delay_s = float(query.get("ms", "0")) / 1000
            status = int(query.get("status", "200"))
            body = query.get("body", "done").encode()
            body *= int(query.get("times", "1"))
            asyncio.get_running_loop().call_later(
                delay_s, self._respond, exchange_id, status, body
            )

    def caller_left(self, exchange_id):
        """Forget a request whose caller disconnected."""
        self._connections.pop(exchange_id, None)
        self._request_ids.pop(exchange_id, None)

    def may_overlap(self, request):
        """Return False; requests of one connection run one at a time."""
        return False

    def _call_downstream(self, exchange_id, request, split):
        target = split.path[len("/call") :]
        if split.query:
            target += "?" + split.query
        headers = [
            header
            for header in request.headers
            if header.name in ("fescueyard-token", "idempotency-key")
        ]
        downstream_request = http.HttpRequest(
            request.method, target, headers, b""
        )
        future = self._client.fetch(
            f"http://{self._options['node']}", downstream_request, True
        )
        future.add_done_callback(
            lambda done: self._downstream_call_finished(
                exchange_id, done.result()
            )
        )

    def _downstream_call_finished(self, exchange_id, result):
        if result.response is None:
            self._respond(exchange_id, 502, b"the call broke off")
        else:
            response = result.response
            self._respond(exchange_id, response.status, response.body)

    def _respond(self, exchange_id, status, body):
        connection = self._connections.pop(exchange_id, None)
        request_id = self._request_ids.pop(exchange_id, None)
        if connection is not None:
            headers = []
            if request_id:
                headers.append(http.Header(REQUEST_ID_HEADER, request_id))
            response = http.HttpResponse(status, headers, body)
            connection.respond(exchange_id, response)

    def _log_run(self, request):
        record = {
            "at": time.monotonic(),
            "method": request.method,
            "target": request.target,
            "headers": {
                header.name: header.value for header in request.headers
            },
            "body": request.body.decode("latin-1")[:200],
        }
        self._run_log.write(json.dumps(record) + "\n")

    def _announce(self):
        if self._draining:
            return
        announcement = {
            "service": self._options["service"],
            "address": self._options["address"],
            "slots": int(self._options["slots"]),
            "ttl_ms": ANNOUNCEMENT_TTL_MS,
        }
        self._post_to_node("/-/announce", json.dumps(announcement).encode())
        asyncio.get_running_loop().call_later(
            ANNOUNCE_INTERVAL_S, self._announce
        )

    def _start_drain(self):
        self._draining = True
        self._post_to_node("/-/leave", b"")
        asyncio.get_running_loop().call_later(ANNOUNCE_INTERVAL_S, sys.exit, 0)

    def _post_to_node(self, target, body):
        request = http.HttpRequest("POST", target, [], body)
        self._client.fetch(f"http://{self._options['node']}", request, True)


def _raw_bytes(text, request):
    """Encode the text of a response, with the id of its request."""
    request_id = request.header(REQUEST_ID_HEADER) or ""
    return text.replace("{id}", request_id).encode("latin-1")


async def _send_without_end(transport, first, repeated, repeats):
    """Send until the other side closes, as fast as it reads."""
    transport.write(first)
    while not transport.is_closing() and repeats > 0:
        if transport.get_write_buffer_size() < UNSENT_BYTES_MAX:
            transport.write(repeated)
            repeats -= 1
        await asyncio.sleep(0)


def main():
    """Run a backend server; options are ``name=value`` arguments."""
    options = dict(item.split("=", 1) for item in sys.argv[1:])
    loop = asyncio.new_event_loop()

    async def begin():
        await Backend(options).start()

    loop.run_until_complete(begin())
    loop.run_forever()


if __name__ == "__main__":
    main()
