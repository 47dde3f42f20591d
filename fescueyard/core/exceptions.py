"""Root of the exception tree; each error carries a result code."""

from fescueyard.core import codes


class FescueyardError(Exception):
    """Base of every error of this project.

    :param detail: one sentence that says what is wrong.
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
    """A caller's request that can't be taken."""


class ChangeError(FescueyardError):
    """A change of the configuration that can't be taken."""

    code = codes.BAD_CHANGE


class SettingsError(FescueyardError):
    """Settings that a process can't start with."""

    code = codes.BAD_SETTINGS


class StorageError(FescueyardError):
    """A data folder that can't be trusted."""

    code = codes.CORRUPT_STORAGE


class StreamError(FescueyardError):
    """A peer stream that must be closed."""

    code = codes.BAD_FRAME


class PeerRefused(StreamError):
    """A peer that failed authentication."""

    code = codes.PEER_REFUSED
