"""Names of the headers that the system itself reads or sets."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names towards callers and backend servers, in lower case.

    :param request_id: the caller's id of a request; passed on, and echoed
        by the backend server.
    :param deadline_ms: time left to the request's deadline, in ms.
    :param customer: name of the customer that the request runs for; set by the
        system.
    :param caller_service: service on whose VM the request originated; set
        by the system.
    :param expected_instance: id of the backend server that the
        request is addressed to.
    :param instance: id of the backend server, on its responses.
    :param not_run: set by a backend server that has not run the request.
    :param server_limit: requests a second that the backend server takes from
        all nodes together, on its responses.
    :param server_leaving: set by a backend server that accepts no new work.
    :param cold_ms: remaining time, in ms, for which the backend server is
        cold, on its health responses.
    :param signature: signature of the backend server on each response to a
        request; empty where servers don't sign.
    """

    request_id: str = "x-request-id"
    deadline_ms: str = "fescueyard-deadline-ms"
    customer: str = "fescueyard-customer"
    caller_service: str = "fescueyard-caller"
    expected_instance: str = "fescueyard-instance"
    instance: str = "fescueyard-instance-id"
    not_run: str = "fescueyard-not-run"
    server_limit: str = "server-limit"
    server_leaving: str = "server-leaving"
    cold_ms: str = "server-cold-ms"
    signature: str = ""

    def reserved(self):
        """Return the names of headers that a caller may not set.

        :returns: frozenset of names.
        """
        return frozenset(
            {
                self.deadline_ms,
                self.customer,
                self.caller_service,
                self.expected_instance,
                self.not_run,
            }
        )
