"""The platform's administration API on a control VM."""

import dataclasses

from fescueyard.configuration import models
from fescueyard.control import admin
from fescueyard.control import evacuations
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.platform import configurations

CONFIGURATION_PATH = "/v1/config"
EVACUATION_PATH = "/v1/evacuate/"
OPERATOR_NAME = "operator"
_STATUS_BY_CODE = {
    codes.VERSION_CONFLICT: 412,
    codes.BAD_CHANGE: 400,
    codes.BROKEN_REFERENCE: 400,
    codes.UNKNOWN_OBJECT: 404,
    codes.UNKNOWN_ZONE: 404,
}
_UNAVAILABLE_STATUS = 503


@dataclasses.dataclass(frozen=True)
class OperatorInterface:
    """Operators' requests and responses in the format of the platform.

    :param profile: :class:`~fescueyard.configuration.models.Profile` that all
        services run under.
    """

    profile: models.Profile

    def parse(self, request, known_operators):
        """Parse an HTTP request into a command.

        :param request: :class:`~fescueyard.core.http.HttpRequest`.
        :param known_operators: not used; the network admits operators only.
        :returns: a command of :mod:`fescueyard.control.admin`.
        :raises ChangeError: when the request is rejected.
        """
        path = request.target.partition("?")[0]
        if path.startswith(EVACUATION_PATH):
            return _parse_evacuation(request, path)
        if path != CONFIGURATION_PATH:
            raise exceptions.ChangeError("", codes.UNKNOWN_OBJECT)
        if request.method == "GET":
            return admin.ReadDocument()
        if request.method != "PUT":
            raise exceptions.ChangeError(f"method {request.method}")
        parsed = configurations.parse(request.body, self.profile)
        return admin.ApplyDocument(
            admin.document_change(
                OPERATOR_NAME,
                parsed.version,
                parsed.base_version,
                request.body,
                parsed.objects,
            )
        )

    def check_head(self, head, known_operators):
        """Refuse a request by its head, before its body is read.

        :param head: :class:`~fescueyard.core.http.HttpRequest` without its
            body.
        :param known_operators: not used; the network admits operators only.
        :raises ChangeError: when the request is rejected.
        """
        is_configuration = (
            head.method == "PUT"
            and head.target.partition("?")[0] == CONFIGURATION_PATH
        )
        if not is_configuration:
            # The other requests don't depend on a body.
            self.parse(head, known_operators)

    def change_response(self, result):
        """Build the response to a change.

        :param result: :class:`~fescueyard.configuration.state.ChangeResult`.
        :returns: :class:`~fescueyard.core.http.HttpResponse`.
        """
        code = codes.by_number(result.code)
        if code is codes.CHANGED:
            return admin.json_response(200, {})
        return self.error_response(code, result.detail)

    def document_response(self, state):
        """Build the response to a read of the configuration.

        :param state: the configuration.
        :returns: :class:`~fescueyard.core.http.HttpResponse`.
        """
        if not state.applied_document.number:
            return self.error_response(codes.NO_LEADER, "no configuration yet")
        return admin.document_response(state)

    def error_response(self, code, detail=""):
        """Build the response to a rejected request.

        :param code: :class:`~fescueyard.core.codes.ResultCode`.
        :param detail: one sentence; defaults to the title of the code.
        :returns: :class:`~fescueyard.core.http.HttpResponse`.
        """
        status = _STATUS_BY_CODE.get(code, _UNAVAILABLE_STATUS)
        body = {"code": code.number, "detail": detail or code.title}
        response = admin.json_response(status, body)
        if status == _UNAVAILABLE_STATUS:
            response.headers.append(http.Header("retry-after", "0.3"))
        return response


def _parse_evacuation(request, path):
    if request.method not in ("POST", "DELETE"):
        raise exceptions.ChangeError(f"method {request.method}")
    return evacuations.parse(
        request,
        OPERATOR_NAME,
        path[len(EVACUATION_PATH) :],
        request.method == "POST",
    )
