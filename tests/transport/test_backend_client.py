"""The client towards backend servers that break off at every byte."""

import asyncio

import pytest

from fescueyard.core import codes
from fescueyard.core import http
from fescueyard.transport import backend_client

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-a: b\r\n\r\nhello"
REQUEST = http.HttpRequest("POST", "/order", [], b"one fleece")


class RawServer:
    """Answers with raw bytes and closes as told; counts whole requests."""

    def __init__(self, answers):
        self.requests = 0
        self._answers = answers
        self._server = None

    async def start(self):
        """Listen on a free port.

        :returns: base URL.
        """
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"http://{host}:{port}"

    def stop(self):
        """Stop listening."""
        self._server.close()

    async def _accept(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"POST" in head:
                    await reader.readexactly(len(REQUEST.body))
                answer = self._answers[
                    min(self.requests, len(self._answers) - 1)
                ]
                self.requests += 1
                if answer is None:
                    break
                writer.write(answer)
                if answer != ANSWER:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


async def _fetch(answers, request=REQUEST, idempotent=False, times=1):
    server = RawServer(answers)
    url = await server.start()
    client = backend_client.BackendClient(10, 1_000)
    result = None
    for _ in range(times):
        done = asyncio.get_running_loop().create_future()
        client.fetch(url, request, idempotent).add_done_callback(
            lambda future, done=done: done.set_result(future.result())
        )
        result = await asyncio.wait_for(done, 5)
    server.stop()
    return result, server.requests


def test_whole_answer():
    result, _ = asyncio.run(_fetch([ANSWER]))
    assert result.code is codes.OK
    assert result.answer.body == b"hello"


def test_answer_cut_at_every_byte_is_never_taken_for_whole():
    for end in range(len(ANSWER)):
        result, requests = asyncio.run(_fetch([ANSWER[:end]]))
        assert result.answer is None, end
        assert result.code.outcome is codes.Outcome.MAY_HAVE_RUN
        assert requests == 1


def test_request_is_not_sent_again_on_a_kept_connection_that_closed():
    result, requests = asyncio.run(_fetch([ANSWER, None], times=2))
    assert result.code is codes.BACKEND_FAILED
    assert requests == 2


def test_refused_connection_is_known_not_to_have_run():
    async def run():
        client = backend_client.BackendClient(10, 1_000)
        done = asyncio.get_running_loop().create_future()
        client.fetch("http://127.0.0.1:9", REQUEST, False).add_done_callback(
            lambda future: done.set_result(future.result())
        )
        return await asyncio.wait_for(done, 5)

    assert asyncio.run(run()).code is codes.CONNECT_FAILED


@pytest.mark.parametrize("length", [1_001, 100_000])
def test_answer_over_the_limit_is_refused(length):
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length
    result, _ = asyncio.run(_fetch([answer + b"x" * length]))
    assert result.code is codes.ANSWER_TOO_LARGE
