"""Tables of tokens: at the fleet's grantor, a zone's grantor and a node."""

import dataclasses


@dataclasses.dataclass(slots=True)
class HeldRow:
    """What a grantor knows to be held below it.

    :param tokens: most the holder may still spend.
    :param expires_at_ms: the holder stops using them before this.
    :param question_id: latest question answered.
    """

    tokens: int
    expires_at_ms: float
    question_id: int


@dataclasses.dataclass
class FleetBucket:
    """The one bucket of a customer, at the control leader.

    :param level: tokens not handed out.
    :param refilled_at_ms: time up to which the rate was added.
    :param held: rows of :class:`HeldRow` by holder.
    """

    level: float
    refilled_at_ms: float
    held: dict[str, HeldRow] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class HolderRow:
    """A process that asks the fleet's grantor, and what it was promised.

    :param zone: its availability zone.
    :param question_id: its latest question.
    :param answered_at_ms: when that was answered.
    :param confirmed_at_ms: when the latest answer was sent that is known to
        have arrived.
    :param shares: part of the rates by shard, as it may use them.
    :param silent: whether its parts were held back when last looked at.
    """

    zone: str
    question_id: int
    answered_at_ms: float
    confirmed_at_ms: float
    shares: dict[int, float] = dataclasses.field(default_factory=dict)
    silent: bool = False


@dataclasses.dataclass
class FleetTable:
    """Buckets of all customers.

    :param holders: rows of :class:`HolderRow` by holder.
    :param term: term of the leader; 0 before the first.
    :param in_charge_since_ms: when it took office.
    :param granted_count: tokens granted, of all customers.
    :param zones: zones that have nodes.
    :param zones_version: version of the member table they were found in.
    """

    buckets: dict[str, FleetBucket] = dataclasses.field(default_factory=dict)
    holders: dict[str, HolderRow] = dataclasses.field(default_factory=dict)
    term: int = 0
    in_charge_since_ms: float = 0.0
    granted_count: int = 0
    zones: set[str] = dataclasses.field(default_factory=set)
    zones_version: int = -1


@dataclasses.dataclass(slots=True)
class Link:
    """The questions of a holder to one grantor, one at a time.

    :param question_id: latest question.
    :param asked_at_ms: when it was sent; None when it was answered.
    :param ask_due_ms: when the next question may be sent.
    :param report_due_ms: when one that only reports may be sent.
    :param failures: questions in a row without an answer.
    :param failed_until_ms: the grantor is passed over until then.
    """

    question_id: int = 0
    asked_at_ms: float | None = None
    ask_due_ms: float = 0.0
    report_due_ms: float = 0.0
    failures: int = 0
    failed_until_ms: float = float("-inf")


@dataclasses.dataclass
class Holding:
    """Tokens of one customer that this process may spend or grant on.

    :param tokens: how many.
    :param expires_at_ms: they are void from then on.
    :param granted: rows of :class:`HeldRow` by holder below.
    :param wanted: tokens that waiting calls and holders need now.
    :param demand_per_s: tokens asked for of late.
    :param demand_at_ms: time up to which the demand was aged.
    :param exhausted_until_ms: the grantor above has none before this.
    :param token_every_ms: time in which the rate yields a token.
    :param reported_held: what the grantor above was told last.
    :param fed_at_ms: when the fleet's grantor was last heard, by way of the
        grantor above.
    :param own_part: the latest tokens are of a zone's own part.
    :param minted_at_ms: time up to which the own part was added.
    :param minted_rest: what it yielded beyond whole tokens.
    """

    tokens: int = 0
    expires_at_ms: float = float("-inf")
    granted: dict[str, HeldRow] = dataclasses.field(default_factory=dict)
    wanted: int = 0
    demand_per_s: float = 0.0
    demand_at_ms: float = 0.0
    exhausted_until_ms: float = float("-inf")
    token_every_ms: float = 1.0
    reported_held: int = 0
    fed_at_ms: float = float("-inf")
    own_part: bool = False
    minted_at_ms: float = float("-inf")
    minted_rest: float = 0.0


@dataclasses.dataclass(slots=True)
class WaitingCall:
    """A call that waits for a token.

    :param since_ms: when it came.
    :param give_up_at_ms: it is refused then at the latest.
    """

    call_id: int
    since_ms: float
    give_up_at_ms: float


@dataclasses.dataclass(slots=True)
class Promise:
    """Parts of the rates that this process may grant from while cut off.

    :param shares: part of the rates by shard.
    :param fed_at_ms: when the latest answer of the fleet's grantor arrived.
    :param until_ms: the parts may be used up to then.
    :param answered_id: the question of that answer.
    :param told_at_ms: when the latest question was sent.
    """

    shares: dict[int, float] = dataclasses.field(default_factory=dict)
    fed_at_ms: float = float("-inf")
    until_ms: float = float("-inf")
    answered_id: int = 0
    told_at_ms: float = float("-inf")


@dataclasses.dataclass
class LimitTable:
    """A node's tokens.

    :param pools: what this node holds as its zone's grantor, by customer.
    :param holdings: what it holds for its own calls, by customer.
    :param waiting: calls that wait, by customer, oldest first.
    :param links: rows of :class:`Link` by grantor's address; the fleet's
        grantor has the key of :data:`FLEET_LINK`.
    :param promise: what the fleet's grantor promised this process.
    """

    pools: dict[str, Holding] = dataclasses.field(default_factory=dict)
    holdings: dict[str, Holding] = dataclasses.field(default_factory=dict)
    waiting: dict[str, list[WaitingCall]] = dataclasses.field(
        default_factory=dict
    )
    links: dict[str, Link] = dataclasses.field(default_factory=dict)
    grantors: dict[tuple[int, bool], str] = dataclasses.field(
        default_factory=dict
    )
    grantors_version: int = -1
    control_turn: int = 0
    promise: Promise = dataclasses.field(default_factory=Promise)


FLEET_LINK = "fleet"
