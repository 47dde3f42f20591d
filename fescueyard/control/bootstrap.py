"""Bootstrap of a cluster by several control VMs that start together.

Each founder is configured with the same list of addresses. The cluster id and
the member ids are digests of it, so all founders write the same first snapshot
without communicating.
"""

import hashlib

from fescueyard.configuration import state
from fescueyard.consensus import models as consensus_models
from fescueyard.core import logs

LOG = logs.ComponentLogger("founding")

DIGEST_BYTES = 12


def bootstrap_cluster(storage, settings):
    """Write the first snapshot of a new cluster to an empty data folder.

    :param storage: :class:`~fescueyard.control.storage.Storage`.
    :param settings: :class:`~fescueyard.conf.settings.ControlSettings`.
    :raises StorageError: when the folder already holds a member.
    """
    addresses = sorted(set(settings.founders))
    cluster_id = "c-" + _digest(",".join(addresses))
    members = []
    for address in addresses:
        members.append(
            consensus_models.Member(
                _member_id(cluster_id, address), address, "", "", voter=True
            )
        )
    snapshot = consensus_models.Snapshot(
        1,
        1,
        members,
        state.dump_state(state.ConfigurationState(cluster_id)),
    )
    storage.create(
        lambda member_id: snapshot, _member_id(cluster_id, settings.address)
    )
    LOG.info("cluster_founded", cluster=cluster_id, founders=addresses)


def _member_id(cluster_id, address):
    return "m-" + _digest(f"{cluster_id} {address}")


def _digest(text):
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
