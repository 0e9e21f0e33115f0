"""Owner of the servers' answers that the handling of a request obtains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from basilwick.transport.server_messages import ServerAnswer

__all__ = ["AnswerOwner"]


@define(eq=False)
class AnswerOwner:
    """Closes the answers of servers that were not read to their end.

    An answer above the buffered size keeps its connection until its body has ended or
    is closed. Only one answer reaches the caller, and none if the caller has left.
    """

    _answers: list[ServerAnswer] = field(factory=list)
    _closed: bool = False

    def add(self, answer: ServerAnswer) -> None:
        """Own an answer; closes it at once if the handling has ended."""
        if self._closed:
            answer.close()
        else:
            self._answers.append(answer)

    def close(self) -> None:
        """Close all answers; those that were read to their end stay as they are."""
        self._closed = True
        for answer in self._answers:
            answer.close()
        self._answers.clear()
