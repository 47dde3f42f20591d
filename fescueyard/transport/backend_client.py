"""HTTP client towards the VM's own backend server, on libcurl."""

import asyncio
import concurrent.futures
import dataclasses

import pycurl

from fescueyard.core import codes
from fescueyard.core import http

IDLE_HANDLES_MAX = 64
CONNECT_TIMEOUT_MS = 500
_BODYLESS = ("GET", "HEAD")
_BODYLESS_STATUSES = (204, 304)


@dataclasses.dataclass
class BackendResult:
    """How a run at the backend server ended.

    :param answer: the whole answer, or None.
    :param code: result code; ``OK`` with an answer.
    """

    answer: http.HttpAnswer | None
    code: codes.ResultCode


class _Transfer:
    """One request in progress at the backend server."""

    def __init__(self, method, answer_bytes_max):
        self.future = concurrent.futures.Future()
        self.method = method
        self.headers = []
        self.body = bytearray()
        self.too_large = False
        self.headers_complete = False
        self._answer_bytes_max = answer_bytes_max

    def take_header(self, line):
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.headers = []
            self.headers_complete = False
            return
        if not text:
            self.headers_complete = True
            return
        name, separator, value = text.partition(":")
        if separator:
            self.headers.append(http.Header(name.lower(), value.strip()))

    def is_whole(self, status, method):
        """Say whether the answer is known to be whole.

        An answer whose end is only the end of the connection may have been
        cut anywhere, so it does not count.
        """
        if not self.headers_complete:
            return False
        if method == "HEAD" or status in _BODYLESS_STATUSES:
            return True
        length = http.find_header(self.headers, "content-length")
        coding = http.find_header(self.headers, "transfer-encoding")
        return length is not None or coding is not None

    def take_body(self, data):
        if len(self.body) + len(data) > self._answer_bytes_max:
            self.too_large = True
            return 0
        self.body += data
        return None


class BackendClient:
    """Runs requests through one CurlMulti on the process's loop.

    :param connections_max: most connections to the backend server.
    :param answer_bytes_max: largest answer accepted.
    """

    def __init__(self, connections_max, answer_bytes_max):
        self._loop = asyncio.get_running_loop()
        self._answer_bytes_max = answer_bytes_max
        self._transfers = {}
        self._idle = []
        self._timer = None
        self._watched = {}
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, connections_max)
        self._multi.setopt(pycurl.M_MAXCONNECTS, connections_max)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)

    def fetch(self, base_url, request, idempotent):
        """Start a request.

        :param base_url: ``http://host:port`` of the backend server.
        :param request: :class:`~fescueyard.core.http.HttpRequest`.
        :param idempotent: whether running twice does no harm.
        :returns: future of a :class:`BackendResult`; cancel it with
            :meth:`cancel`.
        """
        transfer = _Transfer(request.method, self._answer_bytes_max)
        curl = self._idle.pop() if self._idle else pycurl.Curl()
        self._prepare(curl, base_url, request, idempotent, transfer)
        self._transfers[curl] = transfer
        transfer.future.curl = curl
        self._multi.add_handle(curl)
        # Sends at once instead of in the loop's next round.
        self._act(pycurl.SOCKET_TIMEOUT, 0)
        return transfer.future

    def cancel(self, future):
        """Break a request off; its future gets no result.

        :param future: what :meth:`fetch` returned.
        """
        curl = future.curl
        if curl in self._transfers:
            del self._transfers[curl]
            self._multi.remove_handle(curl)
            curl.close()

    def _prepare(self, curl, base_url, request, idempotent, transfer):
        curl.setopt(pycurl.URL, base_url + request.target)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        if request.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        elif request.body or request.method not in _BODYLESS:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, request.body)
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        # libcurl sends a request again by itself when a kept connection
        # turns out to be closed, even though the backend server may have
        # read it; only a new connection rules that out.
        curl.setopt(pycurl.FRESH_CONNECT, 0 if idempotent else 1)
        lines = [f"{field.name}: {field.value}" for field in request.headers]
        lines.append("expect:")
        curl.setopt(pycurl.HTTPHEADER, lines)
        curl.setopt(pycurl.HEADERFUNCTION, transfer.take_header)
        curl.setopt(pycurl.WRITEFUNCTION, transfer.take_body)

    def _watch_socket(self, action, descriptor, multi, data):
        watched = self._watched.pop(descriptor, 0)
        wanted = 0 if action == pycurl.POLL_REMOVE else action
        if wanted:
            self._watched[descriptor] = wanted
        changed = watched ^ wanted
        if changed & pycurl.POLL_IN:
            if wanted & pycurl.POLL_IN:
                self._loop.add_reader(
                    descriptor, self._act, descriptor, pycurl.CSELECT_IN
                )
            else:
                self._loop.remove_reader(descriptor)
        if changed & pycurl.POLL_OUT:
            if wanted & pycurl.POLL_OUT:
                self._loop.add_writer(
                    descriptor, self._act, descriptor, pycurl.CSELECT_OUT
                )
            else:
                self._loop.remove_writer(descriptor)

    def _set_timer(self, timeout_ms):
        if timeout_ms < 0:
            return
        due_s = self._loop.time() + timeout_ms / 1000
        if self._timer is not None:
            if self._timer.when() <= due_s:
                # It comes early for this wish, which libcurl allows.
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due_s, self._time_out)

    def _time_out(self):
        self._timer = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _act(self, descriptor, events):
        self._multi.socket_action(descriptor, events)
        while True:
            queued, finished, failed = self._multi.info_read()
            for curl in finished:
                self._finish(curl, 0)
            for curl, error, _detail in failed:
                self._finish(curl, error)
            if not queued:
                return

    def _finish(self, curl, error):
        transfer = self._transfers.pop(curl)
        result = _result(curl, transfer, error)
        self._multi.remove_handle(curl)
        if error == 0 and len(self._idle) < IDLE_HANDLES_MAX:
            curl.reset()
            self._idle.append(curl)
        else:
            curl.close()
        transfer.future.set_result(result)


def _result(curl, transfer, error):
    if error == 0:
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        if not transfer.is_whole(status, transfer.method):
            return BackendResult(None, codes.SHORT_ANSWER)
        answer = http.HttpAnswer(
            status, transfer.headers, bytes(transfer.body)
        )
        return BackendResult(answer, codes.OK)
    if transfer.too_large:
        return BackendResult(None, codes.ANSWER_TOO_LARGE)
    if not curl.getinfo(pycurl.REQUEST_SIZE):
        # No byte of the request was written.
        return BackendResult(None, codes.CONNECT_FAILED)
    if error == pycurl.E_PARTIAL_FILE:
        return BackendResult(None, codes.SHORT_ANSWER)
    return BackendResult(None, codes.BACKEND_FAILED)
