"""Names of the headers that the system itself reads and sets."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names towards callers and backend servers, in lower case.

    :param request_id: the caller's id of a request; passed on, and echoed
        by the backend server.
    :param deadline_ms: time left for the request, in ms.
    :param customer: name of the customer it runs for; set by the system.
    :param caller_service: service on whose VM the request began; set by the
        system.
    :param expected_instance: id of the backend server that is meant.
    :param instance: id of the backend server, on its answers.
    :param not_run: a backend server's word that it has not run a request.
    """

    request_id: str = "x-request-id"
    deadline_ms: str = "fescueyard-deadline-ms"
    customer: str = "fescueyard-customer"
    caller_service: str = "fescueyard-caller"
    expected_instance: str = "fescueyard-instance"
    instance: str = "fescueyard-instance-id"
    not_run: str = "fescueyard-not-run"

    def reserved(self):
        """List the names that a caller may not set.

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
