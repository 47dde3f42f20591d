"""The administration API for operators: JSON over HTTP."""

import dataclasses
import hashlib
import json
import zlib

import pydantic
from werkzeug import exceptions as http_exceptions
from werkzeug import routing

from fescueyard.configuration import models
from fescueyard.configuration import state as states
from fescueyard.control import evacuations
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import operators
from fescueyard.core import problems
from fescueyard.core import text

CHANGE_ID_HEADER = "fescueyard-change-id"
EXPECTED_VERSION_HEADER = "fescueyard-expected-version"
RETRY_AFTER_MS = 1_000
CHANGE_ID_LENGTH_MAX = 128
ZLIB_LEVEL = 6

_URL_MAP = routing.Map(
    [
        routing.Rule("/v1/objects/<kind>", endpoint="list"),
        routing.Rule("/v1/objects/<kind>/<name>", endpoint="object"),
        routing.Rule("/v1/document", endpoint="document"),
        routing.Rule("/v1/evacuations", endpoint="evacuations"),
        routing.Rule("/v1/evacuations/<zone>", endpoint="evacuation"),
        routing.Rule("/v1/members", endpoint="members"),
        routing.Rule("/v1/members/<member_id>", endpoint="member"),
        routing.Rule("/v1/status", endpoint="status"),
        routing.Rule("/v1/dump", endpoint="dump"),
    ]
)


@dataclasses.dataclass(frozen=True)
class ReadObjects:
    """Read all objects of a kind, or one of them.

    :param name: the object; None for all.
    """

    kind: models.Kind
    name: str | None


@dataclasses.dataclass(frozen=True)
class ReadStatus:
    """Read the status of this control process."""


@dataclasses.dataclass(frozen=True)
class ReadMembers:
    """Read the control members and applicants."""


@dataclasses.dataclass(frozen=True)
class ReadDump:
    """Read the dump of this control process."""


@dataclasses.dataclass(frozen=True)
class ChangeObject:
    """Change one object."""

    change: states.Change


@dataclasses.dataclass(frozen=True)
class ApplyDocument:
    """Replace the current configuration with a complete document."""

    change: states.DocumentChange


@dataclasses.dataclass(frozen=True)
class ReadDocument:
    """Read the applied document, byte for byte as it was sent."""


@dataclasses.dataclass(frozen=True)
class _ObjectModel:
    """One object in the body of ``PUT /v1/document``."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid", strict=True)

    kind: str
    name: str
    document: dict


@dataclasses.dataclass(frozen=True)
class _DocumentModel:
    """Body of ``PUT /v1/document``."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid", strict=True)

    number: models.PositiveInt
    base_number: models.NonNegativeInt
    objects: list[_ObjectModel]


_DOCUMENT_ADAPTER = pydantic.TypeAdapter(_DocumentModel)


@dataclasses.dataclass(frozen=True)
class ChangeMember:
    """Add or remove a control member."""

    member_id: str
    add: bool


def parse(request, known_operators):
    """Parse an HTTP request into a command.

    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param known_operators: the result of ``operators.load``.
    :returns: one of the command classes above.
    :raises FescueyardError: when the request is rejected.
    """
    operator = _authenticate(request, known_operators)
    endpoint, values = _match(request)
    if endpoint == "document" and request.method == "PUT":
        return ApplyDocument(_parse_document(request, operator))
    if endpoint == "object" and request.method in ("PUT", "DELETE"):
        return ChangeObject(_parse_change(request, operator, **values))
    if endpoint == "evacuation" and request.method in ("PUT", "DELETE"):
        return evacuations.parse(
            request, operator, values["zone"], request.method == "PUT"
        )
    if endpoint == "member" and request.method in ("PUT", "DELETE"):
        return ChangeMember(values["member_id"], request.method == "PUT")
    if request.method != "GET":
        raise exceptions.ChangeError(f"method {request.method} not allowed")
    return _parse_read(endpoint, values)


def check_head(head, known_operators):
    """Refuse a request by its head, before its body is read.

    :param head: :class:`~fescueyard.core.http.HttpRequest` without its body.
    :param known_operators: the result of ``operators.load``.
    :raises FescueyardError: when the request is rejected.
    """
    _authenticate(head, known_operators)
    _match(head)


def change_response(result):
    """Build the response to a change.

    :param result: :class:`~fescueyard.configuration.state.ChangeResult`.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    code = codes.by_number(result.code)
    if code is codes.CHANGED:
        return json_response(
            200, {"code": code.number, "version": result.version}
        )
    response = problems.problem_response(code, result.detail, RETRY_AFTER_MS)
    if result.version:
        fields = json.loads(response.body)
        fields["version"] = result.version
        response.body = json.dumps(fields).encode()
    return response


def document_change(operator, number, base_number, body, objects):
    """Create the change that applies a complete document.

    :param operator: name of the operator who sent it.
    :param number: the operators' number of the document.
    :param base_number: number of the document that it is based on; 0 for
        none.
    :param body: the document as it was sent; its digest identifies resends.
    :param objects: list of
        :class:`~fescueyard.configuration.state.DocumentObject`.
    :returns: :class:`~fescueyard.configuration.state.DocumentChange`.
    """
    return states.DocumentChange(
        hashlib.sha256(body).hexdigest(),
        operator,
        number,
        base_number,
        zlib.compress(body, ZLIB_LEVEL),
        objects,
    )


def document_response(state):
    """Build the response to a read of the applied document.

    :param state: the configuration.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    source = state.applied_document.source
    if not source:
        return problems.problem_response(codes.UNKNOWN_OBJECT)
    headers = [http.Header("content-type", "application/json")]
    return http.HttpResponse(200, headers, zlib.decompress(source))


def error_response(code, detail=""):
    """Build the response to a rejected request.

    :param code: :class:`~fescueyard.core.codes.ResultCode`.
    :param detail: one sentence; the code's title when left out.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    return problems.problem_response(code, detail, RETRY_AFTER_MS)


def objects_response(state, command):
    """Build the response to a read of objects.

    :param state: the configuration.
    :param command: :class:`ReadObjects`.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    objects = state.object_versions[command.kind]
    if command.name is None:
        listed = [_object_json(objects[name]) for name in sorted(objects)]
        return json_response(200, {"objects": listed})
    object_version = objects.get(command.name)
    if object_version is None:
        return problems.problem_response(codes.UNKNOWN_OBJECT)
    return json_response(200, _object_json(object_version))


def json_response(status, value):
    """Build a response with a JSON body.

    :param status: HTTP status.
    :param value: JSON-serialisable value.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    body = json.dumps(value).encode()
    headers = [http.Header("content-type", "application/json")]
    return http.HttpResponse(status, headers, body)


def _authenticate(request, known_operators):
    scheme, _, token = (request.header("authorization") or "").partition(" ")
    operator = None
    if scheme.lower() == "bearer":
        operator = operators.find(known_operators, token.strip())
    if operator is None:
        raise exceptions.ChangeError("", codes.NOT_AN_OPERATOR)
    return operator


def _match(request):
    """Return the endpoint of a request and the values in its path."""
    path = request.target.partition("?")[0]
    try:
        return _URL_MAP.bind("control").match(path, "GET")
    except (http_exceptions.HTTPException, routing.RequestRedirect):
        raise exceptions.ChangeError(
            f"no such resource: {path}", codes.UNKNOWN_OBJECT
        ) from None


def _parse_read(endpoint, values):
    if endpoint == "list":
        return ReadObjects(models.parse_kind(values["kind"]), None)
    if endpoint == "object":
        return ReadObjects(models.parse_kind(values["kind"]), values["name"])
    if endpoint == "document":
        return ReadDocument()
    if endpoint == "evacuations":
        return evacuations.ReadEvacuations()
    if endpoint == "members":
        return ReadMembers()
    if endpoint == "status":
        return ReadStatus()
    if endpoint == "dump":
        return ReadDump()
    raise exceptions.ChangeError("", codes.UNKNOWN_OBJECT)


def _parse_change(request, operator, kind, name):
    parsed_kind = models.parse_kind(kind)
    if parsed_kind is models.Kind.CLAIM_GROUP:
        raise exceptions.ChangeError("the system sets claim groups itself")
    if parsed_kind is models.Kind.EVACUATION:
        raise exceptions.ChangeError("evacuations are set at /v1/evacuations")
    models.check_name(name)
    change_id = request.header(CHANGE_ID_HEADER) or ""
    if not 0 < len(change_id) <= CHANGE_ID_LENGTH_MAX:
        raise exceptions.ChangeError(f"{CHANGE_ID_HEADER} is missing or long")
    expected_version = request.header(EXPECTED_VERSION_HEADER) or ""
    if not text.is_decimal(expected_version):
        raise exceptions.ChangeError(f"{EXPECTED_VERSION_HEADER} is no number")
    document = b""
    if request.method == "PUT":
        value = models.parse_document(parsed_kind, request.body)
        document = models.dump_document(parsed_kind, value)
    return states.Change(
        change_id, operator, kind, name, int(expected_version), document
    )


def _parse_document(request, operator):
    try:
        document = _DOCUMENT_ADAPTER.validate_json(request.body)
    except pydantic.ValidationError as error:
        raise exceptions.ChangeError(
            models.format_validation_error(error)
        ) from error
    objects = []
    for object_model in document.objects:
        kind = models.parse_kind(object_model.kind)
        if kind not in states.DOCUMENT_KINDS:
            raise exceptions.ChangeError(
                f"no document sets a {object_model.kind}"
            )
        models.check_name(object_model.name)
        parsed = models.parse_document(kind, json.dumps(object_model.document))
        objects.append(
            states.DocumentObject(
                object_model.kind,
                object_model.name,
                models.dump_document(kind, parsed),
            )
        )
    states.check_references(objects)
    return document_change(
        operator, document.number, document.base_number, request.body, objects
    )


def _object_json(object_version):
    return {
        "kind": object_version.kind,
        "name": object_version.name,
        "version": object_version.version,
        "document": json.loads(object_version.document),
    }
