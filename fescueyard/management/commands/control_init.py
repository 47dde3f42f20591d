"""``fescueyard control_init``: bootstraps a new cluster, once only."""

from fescueyard.conf import settings
from fescueyard.configuration import state
from fescueyard.consensus import models as consensus_models
from fescueyard.control import storage
from fescueyard.core import ids
from fescueyard.management import utils


def run(**flags):
    """Initialise this VM as the first control member of a new cluster.

    :param flags: settings of ``fescueyard control``.
    """
    values = utils.load_process_settings(settings.ControlSettings, flags)
    cluster_id = ids.new_id("c-")

    def first_snapshot(member_id):
        member = consensus_models.Member(
            member_id,
            values.address,
            values.admin_address,
            values.zone,
            voter=True,
        )
        configuration = state.ConfigurationState(cluster_id)
        return consensus_models.Snapshot(
            1, 1, [member], state.dump_state(configuration)
        )

    data_storage = storage.Storage(values.data_folder)
    data_storage.create(first_snapshot)
    data_storage.close()
    print(f"cluster {cluster_id}")
