"""Exceptions of the replicated configuration; all derive from `ReplicatedConfigError`.

Operators read the messages, and `operator_client.TRANSIENT_REASONS` matches parts of some of them.
"""

from __future__ import annotations

LEADERSHIP_LOST = "this instance leads no more"
LEADER_CHANGED = "another leader was elected"


class ReplicatedConfigError(Exception):
    """Base class of the package's exceptions."""


class CommandRejectedError(ReplicatedConfigError):
    """A command that the state machine rejected. The message of a session's last command is stored with the session."""


class SupersededProposalError(CommandRejectedError):
    """A proposal that is older than the last one of its session."""

    def __init__(self) -> None:
        """Uses the same message for every session."""
        super().__init__("this session has made a newer proposal")


class StaleBaseError(CommandRejectedError):
    """A proposal that is based on a version other than the newest."""

    def __init__(self, base: int, newest: int) -> None:
        """Names both versions."""
        super().__init__(f"it is based on version {base}, the newest is {newest}: look again")


class VersionPendingError(CommandRejectedError):
    """A proposal while another version is pending: only one may be."""

    def __init__(self, pending: int) -> None:
        """Names the pending version."""
        super().__init__(f"version {pending} is being taken up: wait for it")


class InvalidVersionError(CommandRejectedError):
    """A version with an invalid text; the message is that of the settings' check."""


class UnknownVersionError(CommandRejectedError):
    """A version that is not stored, or no longer."""

    def __init__(self, version: int) -> None:
        """Names the version."""
        super().__init__(f"version {version} is not known")


class NotPendingError(CommandRejectedError):
    """The rejection or activation of a version that is not pending."""


class StaleRevisionError(CommandRejectedError):
    """A command that the leader computed from a state that has changed since."""

    def __init__(self) -> None:
        """Uses the same message for every revision."""
        super().__init__("the state has moved on since this command was computed")


class UnknownGatewayError(CommandRejectedError):
    """A gateway that has not acknowledged any version."""

    def __init__(self, gateway: str) -> None:
        """Names the gateway."""
        super().__init__(f"head {gateway!r} is not known")


class OutcomeUnknownError(ReplicatedConfigError):
    """A change of leadership while a proposal was in flight: it may or may not be committed."""

    def __init__(self, cause: str) -> None:
        """Names the change: LEADERSHIP_LOST or LEADER_CHANGED."""
        super().__init__(f"{cause}: ask whether it was done")


class NoProposalsError(ReplicatedConfigError):
    """A member that can't append a proposal now.

    It does not lead, is transferring leadership, or has too many uncommitted entries.
    """

    def __init__(self) -> None:
        """Uses the same message for every cause."""
        super().__init__("this member accepts no proposals now")


class LeadershipLostError(ReplicatedConfigError):
    """A read at a member that no longer leads, and so can't serve it."""

    def __init__(self) -> None:
        """Uses the same message for every read."""
        super().__init__(LEADERSHIP_LOST)


class ProposalQueueFullError(ReplicatedConfigError):
    """A proposal beyond the limit of those that wait for the pending version."""

    def __init__(self, waiting: int, allowed: int) -> None:
        """Names the number of waiting proposals, and its limit."""
        super().__init__(f"{waiting} versions wait already: expected {allowed} at most")


class VersionTooLargeError(ReplicatedConfigError):
    """A text with more bytes than a version may have."""

    def __init__(self, size: int, allowed: int) -> None:
        """Names the text's size in bytes, and its limit."""
        super().__init__(f"the version's text has {size:,} bytes: expected at most {allowed:,}")


class RequestError(ReplicatedConfigError):
    """An operator's request that can't be served; the message gives the reason."""
