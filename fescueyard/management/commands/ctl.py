"""``fescueyard ctl``: manages the configuration and the control members."""

import hashlib
import json
import os
import secrets
import urllib.parse

import fire

from fescueyard.conf import settings
from fescueyard.core import exceptions
from fescueyard.core import ids
from fescueyard.management import client


# Names, ids and tokens may look like numbers, so no argument is converted.
_take_text = fire.decorators.SetParseFn(str)


class Ctl:
    """Commands of operators, which take effect without a restart.

    Each method accepts the settings of ``ctl`` as flags.
    """

    @_take_text
    def get(self, kind, name="", **flags):
        """Show one object, or all objects of a kind.

        :param kind: profile, service, firm, customer, key, route, listener,
            claim_group or evacuation.
        :param name: name of the object; all objects when empty.
        """
        path = f"/v1/objects/{kind}"
        if name:
            path += f"/{name}"
        _print_json(_admin_client(flags).read(path))

    @_take_text
    def put(
        self,
        kind,
        name,
        document,
        expected_version=None,
        change_id="",
        **flags,
    ):
        """Create or change an object.

        :param kind: profile, service, firm, customer, key, route or listener.
        :param name: name of the object.
        :param document: JSON, or ``@path`` of a file that contains it.
        :param expected_version: version that the change is based on; defaults
            to the current version.
        :param change_id: id of the change; resending a change with the same id
            applies it only once.
        """
        _change_object(
            "PUT",
            f"{kind}/{name}",
            _read_document(document),
            expected_version,
            change_id,
            flags,
        )

    @_take_text
    def retire(self, kind, name, expected_version=None, change_id="", **flags):
        """Retire an object; to retire a key is to withdraw it.

        :param kind: profile, service, firm, customer, key, route or listener.
        :param name: name of the object.
        :param expected_version: version that the change is based on; defaults
            to the current version.
        :param change_id: id of the change; resending a change with the same id
            applies it only once.
        """
        _change_object(
            "DELETE",
            f"{kind}/{name}",
            b"",
            expected_version,
            change_id,
            flags,
        )

    @_take_text
    def apply(self, document, **flags):
        """Replace the current configuration with a complete document.

        :param document: JSON with ``number``, ``base_number`` and
            ``objects``, or ``@path`` of a file that contains it.
        """
        _print_json(
            _admin_client(flags).change(
                "PUT", "/v1/document", _read_document(document), 0
            )
        )

    @_take_text
    def document(self, **flags):
        """Show the complete document in force, as it was sent."""
        _print_json(_admin_client(flags).read("/v1/document"))

    @_take_text
    def grant_key(self, customer, key_id="", **flags):
        """Create a key for a customer and print it; it cannot be shown again.

        :param customer: name of the customer.
        :param key_id: name of the key; generated when empty.
        """
        key_id = key_id or ids.new_id("k-")
        key = "fyk_" + secrets.token_urlsafe(32)
        document = {
            "customer": customer,
            "sha256": hashlib.sha256(key.encode()).hexdigest(),
        }
        _admin_client(flags).change(
            "PUT",
            f"/v1/objects/key/{key_id}",
            json.dumps(document).encode(),
            0,
        )
        _print_json({"key_id": key_id, "key": key})

    @_take_text
    def withdraw_key(self, key_id, **flags):
        """Withdraw a key; requests with it are rejected.

        :param key_id: name of the key.
        """
        self.retire("key", key_id, **flags)

    @_take_text
    def evacuate(self, zone, **flags):
        """Evacuate a zone: send no more requests to its backend servers.

        :param zone: name of the availability zone.
        """
        _change_evacuation("PUT", zone, flags)

    @_take_text
    def end_evacuation(self, zone, **flags):
        """End the evacuation of a zone; its backend servers are used again.

        :param zone: name of the availability zone.
        """
        _change_evacuation("DELETE", zone, flags)

    @_take_text
    def evacuations(self, **flags):
        """Show the evacuated zones."""
        _print_json(_admin_client(flags).read("/v1/evacuations"))

    @_take_text
    def status(self, **flags):
        """Show the status of a control process."""
        _print_json(_admin_client(flags).read("/v1/status"))

    @_take_text
    def members(self, **flags):
        """Show the control members and applicants."""
        _print_json(_admin_client(flags).read("/v1/members"))

    @_take_text
    def add_member(self, member_id, **flags):
        """Admit an applicant; it votes once it has caught up.

        :param member_id: member id of the applicant.
        """
        _change_member("PUT", member_id, flags)

    @_take_text
    def remove_member(self, member_id, **flags):
        """Remove a control member.

        :param member_id: id of the member.
        """
        _change_member("DELETE", member_id, flags)


def _admin_client(flags):
    values = settings.load(settings.OperatorSettings, flags, os.environ)
    return client.AdminClient(values)


def _change_object(
    method, place, document, expected_version, change_id, flags
):
    api = _admin_client(flags)
    path = f"/v1/objects/{place}"
    if expected_version is None:
        expected_version = _current_version(api, path)
    _print_json(
        api.change(method, path, document, expected_version, change_id)
    )


def _change_member(method, member_id, flags):
    path = f"/v1/members/{member_id}"
    _print_json(_admin_client(flags).change(method, path, b"", 0))


def _change_evacuation(method, zone, flags):
    path = f"/v1/evacuations/{urllib.parse.quote(zone, safe='')}"
    _print_json(_admin_client(flags).change(method, path, b"", 0))


def _current_version(api, path):
    try:
        return api.read(path)["version"]
    except client.Refused as error:
        if error.code.http_status == 404:
            return 0
        raise


def _read_document(document):
    if not document.startswith("@"):
        return document.encode()
    try:
        with open(document[1:], "rb") as file:
            return file.read()
    except OSError as error:
        raise exceptions.SettingsError(
            f"can't read {document[1:]}: {error.strerror}"
        ) from None


def _print_json(value):
    print(json.dumps(value, indent=1))
