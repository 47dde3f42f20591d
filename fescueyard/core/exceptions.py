"""Exceptions of the project; each carries a result code."""

from fescueyard.core import codes


class FescueyardError(Exception):
    """Base of every error of this project.

    :param detail: one sentence that describes the error.
    :param code: the :class:`~fescueyard.core.codes.ResultCode`; the class
        default when left out.
    """

    code = codes.BAD_REQUEST

    def __init__(self, detail="", code=None):
        if code is not None:
            self.code = code
        self.detail = detail or self.code.title
        super().__init__(f"[{self.code.number}] {self.detail}")


class RequestError(FescueyardError):
    """A request of a caller or a backend server is rejected."""


class ChangeError(FescueyardError):
    """A configuration change is invalid, or an operator's request rejected."""

    code = codes.BAD_CHANGE


class SettingsError(FescueyardError):
    """A setting or command argument, or a file that it names, is invalid."""

    code = codes.BAD_SETTINGS


class StorageError(FescueyardError):
    """The contents of a data folder are corrupt or unusable."""

    code = codes.CORRUPT_STORAGE


class StreamError(FescueyardError):
    """Received bytes or a stored record are malformed or unexpected.

    When a stream carried them, it is closed.
    """

    code = codes.BAD_FRAME


class PeerAuthenticationError(StreamError):
    """A peer failed the handshake that authenticates it."""

    code = codes.PEER_REFUSED


class ResponseError(FescueyardError):
    """The response of a backend server is malformed.

    It is known neither whether the request ran nor what came of it.
    """

    code = codes.SHORT_ANSWER


class InconsistentTablesError(FescueyardError):
    """Tables were left half changed; the process must end.

    It belongs to no connection, message or request, so nothing contains it.
    """

    code = codes.INTERNAL_ERROR
