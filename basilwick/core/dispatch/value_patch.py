"""Differences between two versions of a stored value.

Successive versions of a large value, such as the configuration, mostly differ in a few
entries. A patch names the pieces of the former version that the new one repeats, in
order, and contains the others.
"""

from __future__ import annotations

from orjson import JSONDecodeError, dumps, loads

__all__ = ["apply_patch", "make_patch"]

#: Byte that begins a piece. An entry of a JSON document begins with it.
_PIECE_START = b"{"


def make_patch(base: bytes, value: bytes) -> bytes:
    """Return a patch that turns a base into a value.

    Returns
    -------
    bytes
        A line of JSON and literal bytes. The line lists steps: a pair of first piece
        and number of pieces that are copied from the base, or the number of literal
        bytes that follow.
    """
    base_pieces = _split(base)
    positions = {piece: index for index, piece in enumerate(base_pieces)}
    steps: list[list[int] | int] = []
    literals: list[bytes] = []
    next_position = -1
    for piece in _split(value):
        if next_position < 0 or base_pieces[next_position] != piece:
            next_position = positions.get(piece, -1)
            if next_position < 0:
                literals.append(piece)
                _add_literal(steps, len(piece))
                continue
            steps.append([next_position, 0])
        steps[-1][1] += 1
        next_position += 1
        if next_position == len(base_pieces):
            next_position = -1
    return dumps(steps) + b"\n" + b"".join(literals)


def apply_patch(base: bytes, patch: bytes) -> bytes:
    """Return the value that a patch makes of its base.

    Raises
    ------
    ValueError
        If the patch is invalid or was made for another base.
    """
    line, separator, literals = patch.partition(b"\n")
    try:
        steps = loads(line)
        pieces = _split(base)
        parts = []
        offset = 0
        for step in steps:
            if isinstance(step, int):
                parts.append(literals[offset : offset + step])
                offset += step
            else:
                first, number = step
                copied = pieces[first : first + number]
                if first < 0 or len(copied) != number:
                    raise ValueError(f"pieces {step} are not in the base")
                parts += copied
        if not separator or offset != len(literals):
            raise ValueError(f"{len(literals)} literal bytes, {offset} used")
    except (JSONDecodeError, TypeError, ValueError) as error:
        raise ValueError(f"invalid patch {patch[:100]!r}: {error}") from error
    return b"".join(parts)


def _split(value: bytes) -> list[bytes]:
    """Return the pieces of a value; joined together they are the value."""
    first, *others = value.split(_PIECE_START)
    return [first, *(_PIECE_START + other for other in others)]


def _add_literal(steps: list[list[int] | int], size: int) -> None:
    if steps and isinstance(steps[-1], int):
        steps[-1] += size
    else:
        steps.append(size)
