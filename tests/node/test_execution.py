"""Requests for the health path of the backend server, with real sockets."""

import asyncio

from fescueyard.core import effects
from fescueyard.core import http
from fescueyard.node import execution
from fescueyard.transport import backend_client

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-cold-ms: 1500\r\n\r\n"


async def _query(hangs):
    """Query a server twice, whose first response may never come.

    :param hangs: whether it doesn't respond to the first request.
    :returns: break counts of the responses, and requests that arrived.
    """
    received = []
    completed = []

    async def accept(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                received.append(head.split(b"\r\n")[0])
                if not hangs or len(received) > 1:
                    writer.write(RESPONSE)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = backend_client.BackendClient(10, 1_000)
    executor = execution.Executor(
        None,
        None,
        client,
        None,
        None,
        lambda count, result: completed.append((count, result.response)),
    )
    for break_count in (3, 4):
        effect = effects.QueryHealth(f"{host}:{port}", "/healthz", break_count)
        executor.execute([effect])
        for _ in range(100):
            if len(received) >= break_count - 2:
                break
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
    server.close()
    client.close()
    return completed, received


def test_health_path_is_requested_once_for_each_query():
    completed, received = asyncio.run(_query(hangs=False))
    assert received == [b"GET /healthz HTTP/1.1"] * 2
    assert [count for count, _ in completed] == [3, 4]
    headers = completed[0][1].headers
    assert http.find_header(headers, "x-cold-ms") == "1500"


def test_query_to_a_hanging_server_is_given_up_with_the_next_one():
    """Otherwise each would hold a connection for as long as it hangs."""
    completed, _ = asyncio.run(_query(hangs=True))
    assert [count for count, _ in completed] == [4]
