"""Translates messages of the decision modules to and from protobuf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from basilwick.core.configuration import Changes, Entry
from basilwick.core.messages import (
    Announcement,
    Heartbeat,
    MemberSummary,
    Message,
    Revocation,
    ServerLoad,
    ServerObservation,
    Summary,
)
from basilwick.transport import messages_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "MessageDecoder",
    "MessageEncoder",
    "decode_fetch_reply",
    "encode_fetch_reply",
]

#: Strings of a heartbeat that rarely change and make up most of its size.
_RARELY_CHANGING = (
    "instance",
    "incarnation",
    "data_centre",
    "peer_address",
    "forward_address",
    "echoed_incarnation",
    "successor",
)
_SCALARS = (
    "sent_at",
    "echoed_at",
    "ready",
    "leaving",
    "witness_ready",
    "config_revision",
    "schema_max",
    "platform_age",
    "generations_version",
    "generations_seen",
)


class MessageEncoder:
    """Encodes the messages of one stream, leaving out what the receiver knows."""

    def __init__(self) -> None:
        self._sent: dict[str, str] = {}

    def encode(self, message: Message) -> pb.ControlMessage:
        """Return the protobuf form of a message."""
        if isinstance(message, Heartbeat):
            return pb.ControlMessage(heartbeat=self._encode_heartbeat(message))
        if isinstance(message, Announcement):
            body = pb.Announcement(
                changes=_encode_entries(message.entries),
                data_centre=message.data_centre,
                since=message.since,
                revision=message.revision,
            )
            return pb.ControlMessage(announcement=body)
        return pb.ControlMessage(summary=_encode_summary(message))

    def _encode_heartbeat(self, heartbeat: Heartbeat) -> pb.Heartbeat:
        encoded = pb.Heartbeat()
        for name in _SCALARS:
            value = getattr(heartbeat, name)
            if value:
                setattr(encoded, name, value)
        for name in _RARELY_CHANGING:
            value = getattr(heartbeat, name)
            if self._sent.get(name, "") != value:
                self._sent[name] = value
                setattr(encoded, name, value)
        if heartbeat.generations is not None:
            encoded.lists_generations = True
            for (service, block), generation in heartbeat.generations.items():
                encoded.generations.add(
                    service=service, block=block, generation=generation
                )
        _encode_reports(heartbeat, encoded)
        return encoded


class MessageDecoder:
    """Decodes the messages of one stream."""

    def __init__(self) -> None:
        self._received = dict.fromkeys(_RARELY_CHANGING, "")

    def decode(self, message: pb.ControlMessage) -> Message | None:
        """Return a message, None for a kind that this version doesn't know."""
        kind = message.WhichOneof("body")
        if kind == "heartbeat":
            return self._decode_heartbeat(message.heartbeat)
        if kind == "announcement":
            body = message.announcement
            return Announcement(
                body.data_centre,
                tuple(_decode_entries(body.changes)),
                body.since,
                body.revision,
            )
        return _decode_summary(message.summary) if kind == "summary" else None

    def _decode_heartbeat(self, encoded: pb.Heartbeat) -> Heartbeat:
        for name in _RARELY_CHANGING:
            value = getattr(encoded, name)
            if value:
                self._received[name] = value
        generations = None
        if encoded.lists_generations:
            generations = {
                (line.service, line.block): line.generation
                for line in encoded.generations
            }
        return Heartbeat(
            **self._received,
            **{name: getattr(encoded, name) for name in _SCALARS},
            generations=generations,
            **_decode_reports(encoded),
        )


def _encode_reports(heartbeat: Heartbeat, encoded: pb.Heartbeat) -> None:
    for seen in heartbeat.observations:
        encoded.observations.add(
            server=seen.server, silent_for=seen.silent_for, failing=seen.failing
        )
    for revocation in heartbeat.revocations:
        service, block = revocation.block
        encoded.revocations.add(
            server=revocation.server,
            service=service,
            block=block,
            generation=revocation.generation,
        )
    for load in heartbeat.loads:
        line = encoded.loads.add(server=load.server, requests_per_s=load.requests_per_s)
        for shard, rate in load.shards.items():
            line.shards.add(shard=shard, requests_per_s=rate)
        for key_hash, (shard, rate) in load.hot_keys.items():
            line.hot_keys.add(key_hash=key_hash, shard=shard, requests_per_s=rate)


def _decode_reports(encoded: pb.Heartbeat) -> dict[str, tuple[object, ...]]:
    reports: dict[str, tuple[object, ...]] = {}
    if encoded.observations:
        reports["observations"] = tuple(
            ServerObservation(line.server, line.silent_for, line.failing)
            for line in encoded.observations
        )
    if encoded.revocations:
        reports["revocations"] = tuple(
            Revocation(line.server, (line.service, line.block), line.generation)
            for line in encoded.revocations
        )
    if encoded.loads:
        reports["loads"] = tuple(
            ServerLoad(
                line.server,
                line.requests_per_s,
                {shard.shard: shard.requests_per_s for shard in line.shards},
                {
                    hot.key_hash: (hot.shard, hot.requests_per_s)
                    for hot in line.hot_keys
                },
            )
            for line in encoded.loads
        )
    return reports


_MEMBER_FIELDS = (
    "instance",
    "incarnation",
    "data_centre",
    "peer_address",
    "forward_address",
    "ready",
    "leaving",
    "silent_for",
    "successor",
    "schema_max",
)


def _encode_summary(summary: Summary) -> pb.Summary:
    encoded = pb.Summary(
        data_centre=summary.data_centre,
        config_revision=summary.config_revision,
        peer_address=summary.peer_address,
    )
    for member in summary.members:
        encoded.members.add(**{n: getattr(member, n) for n in _MEMBER_FIELDS})
    return encoded


def _decode_summary(encoded: pb.Summary) -> Summary:
    members = (
        MemberSummary(**{name: getattr(line, name) for name in _MEMBER_FIELDS})
        for line in encoded.members
    )
    return Summary(
        encoded.data_centre,
        encoded.peer_address,
        encoded.config_revision,
        tuple(members),
    )


def _encode_entries(entries: Iterable[Entry]) -> list[pb.Change]:
    return [
        pb.Change(key=entry.key, revision=entry.revision, value=entry.value)
        for entry in entries
    ]


def _decode_entries(changes: Iterable[pb.Change]) -> list[Entry]:
    return [Entry(line.key, line.value, line.revision) for line in changes]


def encode_fetch_reply(changes: Changes) -> pb.FetchReply:
    """Return changes as the answer to a fetch."""
    return pb.FetchReply(
        revision=changes.revision,
        snapshot=changes.snapshot,
        changes=_encode_entries(changes.entries),
    )


def decode_fetch_reply(reply: pb.FetchReply, since: int) -> Changes:
    """Return the changes after a revision that a peer answered."""
    return Changes(
        reply.revision, _decode_entries(reply.changes), reply.snapshot, since
    )
