"""The error of a message that can't be parsed."""

from __future__ import annotations


class HttpError(Exception):
    """The message can't be parsed further; `status` is the status code for an answer to its sender."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
