"""Exceptions of the replicated configuration; all derive from `ReplicatedConfigError`. Operators read the messages."""

from __future__ import annotations

LEADERSHIP_LOST = "this instance leads no more"
LEADER_CHANGED = "another leader came"


class ReplicatedConfigError(Exception):
    """Base class of the package's exceptions."""


class CommandRejectedError(ReplicatedConfigError):
    """The state machine rejected a command. For a session's last command the message is stored with the session."""


class SupersededProposalError(CommandRejectedError):
    """The session has proposed something newer since."""

    def __init__(self) -> None:
        """The message is the same for every session."""
        super().__init__("an older proposal of this session")


class StaleBaseError(CommandRejectedError):
    """A proposal is based on a version that is not the newest."""

    def __init__(self, base: int, newest: int) -> None:
        """Names both versions."""
        super().__init__(f"it is based on version {base}, the newest is {newest}: look again")


class VersionPendingError(CommandRejectedError):
    """One version at a time is pending, and one is."""

    def __init__(self, pending: int) -> None:
        """Names the pending version."""
        super().__init__(f"version {pending} is being taken up: wait for it")


class InvalidVersionError(CommandRejectedError):
    """A version's text is not valid; the message is that of the settings' check."""


class UnknownVersionError(CommandRejectedError):
    """No such version is kept."""

    def __init__(self, version: int) -> None:
        """Names the version."""
        super().__init__(f"version {version} is not known")


class NotPendingError(CommandRejectedError):
    """A version to be rejected or activated is not the pending one."""


class StaleRevisionError(CommandRejectedError):
    """The state has changed since the leader computed the command from it."""

    def __init__(self) -> None:
        """The message is the same for every revision."""
        super().__init__("the state has moved on since this was reckoned")


class UnknownGatewayError(CommandRejectedError):
    """No such gateway has acknowledged anything."""

    def __init__(self, gateway: str) -> None:
        """Names the gateway."""
        super().__init__(f"head {gateway!r} is not known")


class OutcomeUnknownError(ReplicatedConfigError):
    """Leadership changed while a proposal was in flight: it may or may not be committed."""

    def __init__(self, cause: str) -> None:
        """Names the change, LEADERSHIP_LOST or LEADER_CHANGED."""
        super().__init__(f"{cause}: ask whether it was done")


class NoProposalsError(ReplicatedConfigError):
    """The member can't append a proposal now: it does not lead, hands over, or too much is not committed."""

    def __init__(self) -> None:
        """The message is the same for every cause."""
        super().__init__("this instance takes no proposals now")


class LeadershipLostError(ReplicatedConfigError):
    """The member does not lead any more, so that it can't serve a read."""

    def __init__(self) -> None:
        """The message is the same for every read."""
        super().__init__(LEADERSHIP_LOST)


class ProposalQueueFullError(ReplicatedConfigError):
    """As many proposals as may wait for the pending version do so."""

    def __init__(self, waiting: int, allowed: int) -> None:
        """Names how many wait, and how many may."""
        super().__init__(f"{waiting} versions wait already: expected {allowed} at most")


class VersionTooLargeError(ReplicatedConfigError):
    """A text has more bytes than a version may have."""

    def __init__(self, size: int, allowed: int) -> None:
        """Names the text's bytes, and how many there may be."""
        super().__init__(f"the version's text has {size:,} bytes: expected at most {allowed:,}")


class RequestError(ReplicatedConfigError):
    """An operator's request can't be served; the message says why."""
