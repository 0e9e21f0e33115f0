"""Finds the start of another answer within the body of an answer."""

from __future__ import annotations

from attrs import define

__all__ = ["AnswerScanner"]

_ANSWER_START = b"HTTP/1."


@define
class AnswerScanner:
    """Scans a body in pieces for the start of an answer.

    Attributes
    ----------
    found : bool
        Whether a piece, or two pieces together, held the start of an answer.
    """

    found: bool = False
    #: Last bytes of the body, where the start of an answer may begin.
    _body_end: bytes = b""

    def scan_head(self, data: bytes) -> None:
        """Scan data that begins with the head of the answer itself."""
        self.found = data.find(_ANSWER_START, len(_ANSWER_START)) >= 0
        self._body_end = data[-len(_ANSWER_START) :]

    def scan(self, data: bytes) -> None:
        """Scan the next piece of the body."""
        seam = self._body_end + data[: len(_ANSWER_START)]
        self.found |= _ANSWER_START in data or _ANSWER_START in seam
        self._body_end = seam[-len(_ANSWER_START) :]
        if len(data) >= len(_ANSWER_START):
            self._body_end = data[-len(_ANSWER_START) :]
