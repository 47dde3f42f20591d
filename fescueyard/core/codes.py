"""Numbered result codes: the outcome of a request or a change."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """Whether the backend server ran the request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, eq=False)
class ResultCode:
    """A result code; each exists once and is compared by identity.

    :param number: stable number, never reused.
    :param name: short name for logs and metrics.
    :param http_status: HTTP status of the response that carries the code.
    :param outcome: whether the backend server ran the request.
    :param title: one sentence for the problem details.
    :param retryable: whether a later retry of the same request can succeed.
    """

    number: int
    name: str
    http_status: int
    outcome: Outcome
    title: str
    retryable: bool


_BY_NUMBER = {}


def _define(number, name, http_status, outcome, title, retryable=False):
    code = ResultCode(number, name, http_status, outcome, title, retryable)
    if number in _BY_NUMBER:
        raise ValueError(f"result code {number} defined twice")
    _BY_NUMBER[number] = code
    return code


_RAN = Outcome.RAN
_NOT_RUN = Outcome.NOT_RUN
_MAY_HAVE_RUN = Outcome.MAY_HAVE_RUN

OK = _define(1000, "ok", 200, _RAN, "The request ran.")
REPLAYED = _define(1001, "replayed", 200, _RAN, "A kept answer was replayed.")

# 2000 to 2099: the caller's request is invalid.
BAD_REQUEST = _define(2000, "bad_request", 400, _NOT_RUN, "Malformed request.")
HEADERS_TOO_LARGE = _define(
    2001, "headers_too_large", 431, _NOT_RUN, "Headers exceed the limit."
)
BODY_TOO_LARGE = _define(
    2002, "body_too_large", 413, _NOT_RUN, "Body exceeds the limit."
)
UNKNOWN_SERVICE = _define(
    2003, "unknown_service", 404, _NOT_RUN, "No such service."
)
BAD_HEADER = _define(
    2004, "bad_header", 400, _NOT_RUN, "A fescueyard header has a bad value."
)
KEY_MISSING = _define(
    2005, "key_missing", 401, _NOT_RUN, "This route needs a customer key."
)
KEY_REFUSED = _define(
    2006, "key_refused", 401, _NOT_RUN, "The key is unknown or withdrawn."
)
TOKEN_REFUSED = _define(
    2007, "token_refused", 403, _NOT_RUN, "The call token is not valid."
)
TOO_DEEP = _define(
    2008, "too_deep", 508, _NOT_RUN, "The call chain is deeper than allowed."
)
UNKNOWN_ROUTE = _define(
    2011, "unknown_route", 404, _NOT_RUN, "No route matches host and path."
)
IDEMPOTENCY_KEY_REUSED = _define(
    2009,
    "idempotency_key_reused",
    422,
    _NOT_RUN,
    "The idempotency key was used with a different request.",
)
SERVICE_FORBIDDEN = _define(
    2010,
    "service_forbidden",
    403,
    _NOT_RUN,
    "The customer may not call this service.",
)

# 2100 to 2199: rejected under overload or above the customer's rate.
RATE_EXCEEDED = _define(
    2100,
    "rate_exceeded",
    429,
    _NOT_RUN,
    "The customer is over its rate.",
    True,
)
OVERLOADED = _define(
    2101, "overloaded", 503, _NOT_RUN, "Shed under overload.", True
)
DEADLINE_UNREACHABLE = _define(
    2102,
    "deadline_unreachable",
    503,
    _NOT_RUN,
    "The queue is longer than the deadline allows.",
    True,
)
EVICTED = _define(
    2103, "evicted", 503, _NOT_RUN, "Shed for more important work.", True
)
QUARANTINED = _define(
    2104,
    "quarantined",
    422,
    _NOT_RUN,
    "The request has crashed backend servers and is quarantined.",
    True,
)
RETRIES_EXHAUSTED = _define(
    2105,
    "retries_exhausted",
    503,
    _NOT_RUN,
    "The call chain has used up its retries.",
)
TURNED_AWAY = _define(
    2106,
    "turned_away",
    503,
    _NOT_RUN,
    "A service further down can't take more work now.",
    True,
)
SERVER_LIMITED = _define(
    2107,
    "server_limited",
    503,
    _NOT_RUN,
    "The backend server's limit of requests is used up.",
    True,
)

ZONE_EVACUATED = _define(
    2108,
    "zone_evacuated",
    503,
    _NOT_RUN,
    "The zone of the backend server is evacuated.",
    True,
)

MEMORY_SHORT = _define(
    2120,
    "memory_short",
    503,
    _NOT_RUN,
    "The body does not fit into the memory of this VM now.",
    True,
)

# 2200 to 2299: the fleet can't serve the request at present.
NO_BACKEND = _define(
    2200, "no_backend", 503, _NOT_RUN, "No backend server is available.", True
)
STALE_CONFIGURATION = _define(
    2201,
    "stale_configuration",
    503,
    _NOT_RUN,
    "This node can't confirm that the key is still valid.",
    True,
)
LEAVING = _define(
    2202, "leaving", 503, _NOT_RUN, "This VM is leaving; call another.", True
)
CONNECT_FAILED = _define(
    2203,
    "connect_failed",
    503,
    _NOT_RUN,
    "The backend server refused the connection.",
    True,
)
PEER_UNREACHABLE = _define(
    2204, "peer_unreachable", 503, _NOT_RUN, "The node can't be reached.", True
)
CANCELLED = _define(
    2205, "cancelled", 499, _NOT_RUN, "The caller left before the run.", True
)
CLAIM_UNAVAILABLE = _define(
    2206,
    "claim_unavailable",
    503,
    _NOT_RUN,
    "The claim replicas can't be reached.",
    True,
)
IN_PROGRESS = _define(
    2207,
    "in_progress",
    409,
    _MAY_HAVE_RUN,
    "A request with the same idempotency key has not finished.",
    True,
)
DEADLINE_NOT_RUN = _define(
    2208,
    "deadline_not_run",
    504,
    _NOT_RUN,
    "The deadline passed before the request ran.",
    True,
)
RATE_UNKNOWN = _define(
    2209,
    "rate_unknown",
    503,
    _NOT_RUN,
    "The customer's rate can't be checked now.",
    True,
)
BACKEND_REFUSED = _define(
    2210,
    "backend_refused",
    503,
    _NOT_RUN,
    "The backend server refused the request.",
    True,
)
WRONG_INSTANCE = _define(
    2211,
    "wrong_instance",
    503,
    _NOT_RUN,
    "Another backend server has taken over the address.",
    True,
)

# 2300 to 2399: the run started and its outcome is not known.
DEADLINE_EXCEEDED = _define(
    2300,
    "deadline_exceeded",
    504,
    _MAY_HAVE_RUN,
    "The deadline passed during the run.",
    True,
)
PEER_LOST = _define(
    2301,
    "peer_lost",
    502,
    _MAY_HAVE_RUN,
    "The node was lost during the run.",
    True,
)
BACKEND_FAILED = _define(
    2302,
    "backend_failed",
    502,
    _MAY_HAVE_RUN,
    "The backend server broke off during the run.",
    True,
)
SHORT_ANSWER = _define(
    2303,
    "short_answer",
    502,
    _MAY_HAVE_RUN,
    "The answer was incomplete.",
    True,
)
CANCELLED_RUNNING = _define(
    2304,
    "cancelled_running",
    499,
    _MAY_HAVE_RUN,
    "The caller left during the run.",
    True,
)
ANSWER_TOO_LARGE = _define(
    2305,
    "answer_too_large",
    502,
    _MAY_HAVE_RUN,
    "The answer exceeds the limit.",
)
OUTCOME_UNKNOWN = _define(
    2306,
    "outcome_unknown",
    409,
    _MAY_HAVE_RUN,
    "An earlier run of this request ended with no known outcome.",
)
ANSWER_NOT_KEPT = _define(
    2307,
    "answer_not_kept",
    409,
    _RAN,
    "The request ran; its answer was too large to keep.",
)

# 3000 to 3099: changes through the administration API.
CHANGED = _define(3000, "changed", 200, _RAN, "The change is in force.")
BAD_CHANGE = _define(
    3001, "bad_change", 400, _NOT_RUN, "The change is invalid."
)
NOT_AN_OPERATOR = _define(
    3002, "not_an_operator", 401, _NOT_RUN, "An operator's token is needed."
)
VERSION_CONFLICT = _define(
    3003,
    "version_conflict",
    409,
    _NOT_RUN,
    "The object has another version than the change expects.",
)
UNKNOWN_OBJECT = _define(
    3004, "unknown_object", 404, _NOT_RUN, "No such object."
)
STILL_REFERRED_TO = _define(
    3005,
    "still_referred_to",
    409,
    _NOT_RUN,
    "Another object refers to this one.",
)
NO_LEADER = _define(
    3006, "no_leader", 503, _NOT_RUN, "No control leader is known.", True
)
CHANGE_OUTCOME_UNKNOWN = _define(
    3007,
    "change_outcome_unknown",
    504,
    _MAY_HAVE_RUN,
    "The change may take effect; send it again with the same change id.",
    True,
)
CHANGE_ID_REUSED = _define(
    3008,
    "change_id_reused",
    422,
    _NOT_RUN,
    "The change id was used for a different change.",
)
BROKEN_REFERENCE = _define(
    3009,
    "broken_reference",
    409,
    _NOT_RUN,
    "The change names a missing object.",
)
MEMBERS_BUSY = _define(
    3010,
    "members_busy",
    409,
    _NOT_RUN,
    "Another change of the control members is under way.",
    True,
)

UNKNOWN_ZONE = _define(3011, "unknown_zone", 404, _NOT_RUN, "No such zone.")
OVERTAKEN = _define(
    3012,
    "overtaken",
    409,
    _NOT_RUN,
    "A later change of the zone came first; send it again if still wanted.",
    True,
)

# 4000 to 4099: settings, storage and streams of a process.
BAD_SETTINGS = _define(4000, "bad_settings", 500, _NOT_RUN, "Bad settings.")
CORRUPT_STORAGE = _define(
    4001, "corrupt_storage", 500, _NOT_RUN, "The data folder is corrupt."
)
PEER_REFUSED = _define(
    4002, "peer_refused", 500, _NOT_RUN, "The peer failed authentication."
)
BAD_FRAME = _define(4003, "bad_frame", 500, _NOT_RUN, "Malformed frame.")
NOT_INITIALISED = _define(
    4004, "not_initialised", 500, _NOT_RUN, "The data folder holds no member."
)
INTERNAL_ERROR = _define(
    4005,
    "internal_error",
    500,
    _MAY_HAVE_RUN,
    "An unexpected error; the process's log names it.",
)


def by_number(number):
    """Look up a result code.

    :param number: the code's number.
    :returns: the :class:`ResultCode`.
    :raises KeyError: when no code has the number.
    """
    return _BY_NUMBER[number]


def all_codes():
    """List every result code in order of number.

    :returns: list of :class:`ResultCode`.
    """
    return [_BY_NUMBER[number] for number in sorted(_BY_NUMBER)]
