"""Explanation of a request: where it would go now, and why.

The functions that decide for requests decide here too, on tables of which all
that they change is a copy. Nothing is sent and no state of the node changes.
"""

import copy
import dataclasses
import json
import random
import typing
import urllib.parse

import pydantic

from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import replica
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import problems
from fescueyard.ingress import route_parsing
from fescueyard.keys import systems as keys
from fescueyard.limits import decisions
from fescueyard.limits import grantors
from fescueyard.limits import systems as limits
from fescueyard.pressure import entry
from fescueyard.routing import balancer
from fescueyard.routing import models as routing_models

PATH = "/explain"
_CODE_BY_OUTLOOK = {
    decisions.Outlook.EXCEEDED: codes.RATE_EXCEEDED,
    decisions.Outlook.CUT_OFF: codes.RATE_UNKNOWN,
}


@dataclasses.dataclass(frozen=True)
class Question:
    """The request to explain, from the query of ``GET /explain``.

    :param host: value of its ``Host`` header.
    :param path: its path.
    :param key_sha256: SHA-256 of the customer's key, in hexadecimal; empty
        for no key.
    :param timeout_ms: time that its caller waits, in ms; 0 for the route's.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    host: typing.Annotated[str, pydantic.Field(min_length=1)]
    path: typing.Annotated[str, pydantic.Field(pattern=r"^/")]
    key_sha256: typing.Annotated[
        str, pydantic.Field(pattern=r"^([0-9a-f]{64})?$")
    ] = ""
    timeout_ms: typing.Annotated[float, pydantic.Field(ge=0, le=1e9)] = 0.0


@dataclasses.dataclass(slots=True)
class RateView:
    """What the node knows of a customer's rate.

    :param outlook: value of :class:`~fescueyard.limits.decisions.Outlook`.
    :param tokens: tokens that the node holds and may spend.
    :param waiting: calls that wait for a token.
    :param grantor: process that grants the tokens; empty for the control
        leader.
    """

    outlook: str
    tokens: int
    waiting: int
    grantor: str


@dataclasses.dataclass(slots=True)
class ServerView:
    """What the node knows of one backend server of the service.

    :param node: id of its node.
    :param zone: its availability zone.
    :param excluded: why it is not a candidate; empty when it is one.
    :param score: its load per slot as compared between candidates; the lowest
        is the best.
    :param load: requests queued and running there, as last reported.
    :param limit: its concurrency limit, as last reported; 0 when unknown.
    :param outstanding: requests in flight from this node.
    :param reported_ms_ago: age of that report; None when there is none.
    :param cold_ms: how long it is still cold, in ms; 0 when it is warm.
    :param latency_ms: its recent latency, as last reported.
    :param failure_share: share of its recent runs that failed.
    """

    node: str
    zone: str
    excluded: str
    score: float
    load: int = 0
    limit: int = 0
    outstanding: int = 0
    reported_ms_ago: int | None = None
    cold_ms: int = 0
    latency_ms: float = 0.0
    failure_share: float = 0.0


@dataclasses.dataclass
class Explanation:
    """Where a request would go now, and what decides it.

    Fields behind the step that rejects the request keep their defaults.

    :param node: the node that explains.
    :param zone: its availability zone.
    :param version: version of its configuration.
    :param age_ms: age of its configuration; None before the first one.
    :param route: name of the route.
    :param service: service that the route leads to.
    :param customer: customer of the key; empty for none.
    :param rate: :class:`RateView`; None without a customer.
    :param rank: rank of the request; the lowest is shed last.
    :param shed_share: share of its rank that is shed now.
    :param bottleneck: service that is short of capacity; empty for none.
    :param servers: list of :class:`ServerView` of the service.
    :param chosen: id of the node that the request would be sent to; empty
        when it would be rejected.
    :param code: number of the result code; that of OK when it would be sent.
    :param reason: name of that result code.
    :param detail: one sentence.
    """

    node: str
    zone: str
    version: int
    age_ms: int | None
    route: str = ""
    service: str = ""
    customer: str = ""
    rate: RateView | None = None
    rank: int | None = None
    shed_share: float = 0.0
    bottleneck: str = ""
    servers: list[ServerView] = dataclasses.field(default_factory=list)
    chosen: str = ""
    code: int = codes.OK.number
    reason: str = codes.OK.name
    detail: str = ""


_QUESTION_ADAPTER = pydantic.TypeAdapter(Question)


def explain(tables, question, now_ms):
    """Explain where a request would go now.

    :param tables: the node's tables; not changed.
    :param question: :class:`Question`.
    :param now_ms: the present time.
    :returns: :class:`Explanation`.
    """
    scratch = _scratch_tables(tables)
    own = tables.members.own
    explanation = Explanation(
        own.node_id,
        own.zone,
        tables.configuration.state.version,
        replica.rounded_age_ms(tables.configuration, now_ms),
    )
    try:
        if not tables.routed:
            raise exceptions.RequestError("this node has no routes")
        if tables.refuses_callers(now_ms):
            raise exceptions.RequestError("", codes.LEAVING)
        _decide(scratch, question, explanation, now_ms)
    except exceptions.RequestError as error:
        explanation.code = error.code.number
        explanation.reason = error.code.name
        explanation.detail = error.detail or error.code.title
    return explanation


def respond(tables, request, now_ms):
    """Respond to ``GET /explain``.

    :param tables: the node's tables.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.core.http.HttpResponse` with JSON.
    """
    query = request.target.partition("?")[2]
    fields = dict(urllib.parse.parse_qsl(query))
    try:
        question = _QUESTION_ADAPTER.validate_python(fields)
    except pydantic.ValidationError as error:
        detail = configuration_models.format_validation_error(error)
        return problems.problem_response(codes.BAD_REQUEST, detail)
    body = dataclasses.asdict(explain(tables, question, now_ms))
    headers = [http.Header("content-type", "application/json")]
    return http.HttpResponse(200, headers, json.dumps(body).encode())


def _scratch_tables(tables):
    """Return tables whose changeable parts are copies.

    The copy of the random generator draws what the next request would draw.
    """
    generator = random.Random()
    generator.setstate(tables.random.getstate())
    return dataclasses.replace(
        tables,
        random=generator,
        pressure=copy.deepcopy(tables.pressure),
        limits=copy.deepcopy(tables.limits),
        routes=copy.deepcopy(tables.routes),
        events=[],
        effects=[],
    )


def _decide(tables, question, explanation, now_ms):
    """Take the steps of a request in their order, and note each result.

    :raises RequestError: when the request would be rejected.
    """
    path = question.path.partition("?")[0]
    route_state = route_parsing.find_route(tables, question.host, path, now_ms)
    route = route_state.route
    explanation.route = route_state.name
    service = route_parsing.choose_service(route_state)
    explanation.service = service
    profile = tables.profile_of(service)
    # Shown for rejected requests as well.
    explanation.servers = _list_servers(tables, service, now_ms)
    identity = route_parsing.identify(
        tables,
        route,
        lambda: keys.identify_sha256(
            tables, profile, question.key_sha256, now_ms
        ),
        now_ms,
    )
    explanation.customer = identity.customer
    if identity.customer:
        _check_rate(tables, route, explanation, now_ms)
    if not route.public:
        _check_pressure(
            tables, question, route_state, identity, explanation, now_ms
        )
    member = balancer.choose(
        tables, service, set(), tables.slow_start_ms_of(service), now_ms
    )
    if member is None:
        raise exceptions.RequestError("", codes.NO_BACKEND)
    explanation.chosen = member.node_id


def _check_rate(tables, route, explanation, now_ms):
    """Note the customer's rate.

    :raises RequestError: when the request would be rejected for it.
    """
    customer = explanation.customer
    wait_max_ms = limits.wait_max_ms(route.objective_ms)
    outlook = limits.rate_outlook(tables, customer, wait_max_ms, now_ms)
    bucket = grantors.own_bucket(tables, customer, now_ms)
    grantor_id = grantors.grantor_of(tables, customer, now_ms)
    explanation.rate = RateView(
        outlook.value,
        bucket.tokens if now_ms < bucket.expires_at_ms else 0,
        len(tables.limits.waiting.get(customer, ())),
        "" if grantor_id == tables.members.own.node_id else grantor_id,
    )
    if outlook in _CODE_BY_OUTLOOK:
        raise exceptions.RequestError("", _CODE_BY_OUTLOOK[outlook])


def _check_pressure(
    tables, question, route_state, identity, explanation, now_ms
):
    """Note the rank of the request, and what is shed of that rank.

    :raises RequestError: when the request would be shed.
    """
    route = route_state.route
    explanation.rank = entry.rank_request(
        tables.pressure,
        route_state.name,
        route_parsing.combine_priorities(tables, route, identity),
        question.timeout_ms or route.timeout_ms,
        route.objective_ms,
    )
    service_pressure = tables.pressure.by_service.get(explanation.service)
    if service_pressure is not None:
        explanation.bottleneck = service_pressure.bottleneck
    explanation.shed_share = entry.shed_share(
        tables.pressure, explanation.service, explanation.rank, now_ms
    )
    if explanation.shed_share:
        raise exceptions.RequestError("", codes.TURNED_AWAY)


def _list_servers(tables, service, now_ms):
    """List the backend servers of a service, the best candidate first."""
    candidates = balancer.candidates(tables, service, set(), now_ms)
    candidate_ids = {member.node_id for member in candidates}
    views = []
    for member in tables.members.rows.values():
        is_node = member.role == routing_models.NODE_ROLE
        if not is_node or member.service != service:
            continue
        view = _view_server(tables, member, now_ms)
        if member.node_id not in candidate_ids:
            view.excluded = balancer.exclusion_reason(tables, member, now_ms)
        views.append(view)
    views.sort(key=lambda view: (bool(view.excluded), view.score))
    return views


def _view_server(tables, member, now_ms):
    slow_start_ms = tables.slow_start_ms_of(member.service)
    score = balancer.load_score(tables, member, slow_start_ms, now_ms)
    view = ServerView(member.node_id, member.zone, "", round(score, 3))
    target = tables.members.targets.get(member.node_id)
    if target is None:
        return view
    view.load = target.reported_load
    view.limit = target.limit
    view.outstanding = target.outstanding
    if target.cold_until_ms is not None:
        view.cold_ms = max(0, round(target.cold_until_ms - now_ms))
    if target.report is not None:
        view.reported_ms_ago = round(now_ms - target.report_at_ms)
        view.latency_ms = round(target.report.latency_ms, 1)
        view.failure_share = round(target.report.failure_share, 3)
    return view
