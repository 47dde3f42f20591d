"""When a request leaves its zone.

Load pattern: the servers of a service are spread unevenly. One zone has a
third of the load and one of its seven servers; the others have three each, and
the servers differ in speed by a factor of two to three. Bytes between zones
are expensive, so a request that can run at once in its own zone stays, also at
a server that is somewhat slower than those far away. Once the servers of the
own zone have no free slot, waiting there costs more than the way.

The scores that are compared are those of :mod:`fescueyard.routing.balancer`:
load per slot, times slowness, plus failures. A server without a free slot
counts :data:`~fescueyard.routing.outliers.QUEUE_PENALTY` more.

Placement doesn't swing between zones: a request goes far only by a margin, and
what a near server reports of its load rises with every request that stays, so
requests leave one by one and not all at once.
"""

# Score up to which a server of the own zone is taken as it is: it has a free
# slot, and it is neither full and slow nor failing. A server with three
# quarters of its slots in use is at this score when it is twice as slow as the
# good ones of its service.
NEAR_SCORE_MAX = 1.5
# Score by which a far server has to be better. A queue adds 2, a share of
# failures of one tenth 0.5.
MARGIN = 0.5


def choose(near, far, near_score, far_score):
    """Choose between the best server of the own zone and one far away.

    :param near: entry of the better server of the own zone.
    :param far: entry of the better server of other zones.
    :param near_score: score of the former; lower is better.
    :param far_score: score of the latter.
    :returns: ``near`` or ``far``.
    """
    if near_score <= NEAR_SCORE_MAX or far_score + MARGIN >= near_score:
        return near
    return far
