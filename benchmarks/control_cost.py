"""Measure what heartbeats and confirmations cost a node; prints JSON.

All nodes run in this process on a simulated clock, and every message is encoded,
serialized, parsed and decoded. The cost of grpclib and of sockets is not included.
"""

from __future__ import annotations

from random import Random
from time import process_time

from orjson import OPT_INDENT_2, dumps

from basilwick.core.assignment import BlockDocument, block_key
from basilwick.core.configuration import Changes, Entry
from basilwick.core.control import ControlNode, Identity
from basilwick.core.events import MessageReceived, PlatformAnswered, SendMessage, Tick
from basilwick.core.ownership import Ownership
from basilwick.core.records import record_key
from basilwick.core.routing import Peer
from basilwick.core.timing import TICK_INTERVAL_S
from basilwick.transport import messages_pb2 as pb
from basilwick.transport.codec import MessageDecoder, MessageEncoder

_SECONDS = 5.0
_WITNESSES = 3
_SHARDS_PER_BLOCK = 16


class _NoAssigner:
    def decide(self, view, now, rng):
        return []


def _make_entries(blocks: int, addresses: list[str]) -> list[Entry]:
    seats = [{"name": a, "peer_address": a} for a in addresses[:_WITNESSES]]
    seats = [{**seat, "name": f"w-{n}"} for n, seat in enumerate(seats)]
    records = [
        {"kind": "data_centre", "name": "dc", "witnesses": seats},
        {"kind": "service", "name": "s", "blocks": blocks},
        {"kind": "server", "name": "x", "service": "s", "data_centre": "dc",
         "address": "127.0.0.1:1"},
    ]  # fmt: skip
    values = {
        record_key(r["kind"], r["name"]): dumps({"schema": 2, **r}) for r in records
    }
    for block in range(blocks):
        first = block * _SHARDS_PER_BLOCK
        shards = range(first, first + _SHARDS_PER_BLOCK)
        owned = {shard: Ownership("x", 1) for shard in shards}
        document = BlockDocument("s", block, 1, "dc", owned)
        values[block_key("s", block)] = document.encode()
    return [Entry(key, value, n) for n, (key, value) in enumerate(values.items(), 1)]


def measure(members: int, blocks: int) -> dict[str, float]:
    """Return processor time and bytes of one node of a data centre.

    Parameters
    ----------
    members : int
        Instances of the data centre.
    blocks : int
        Blocks homed there.
    """
    addresses = [f"10.0.0.{n + 1}:7003" for n in range(members)]
    entries = _make_entries(blocks, addresses)
    rng, nodes, links = Random(1), {}, {}
    for n, address in enumerate(addresses):
        peer = Peer(f"instance-{n}", f"{n:032x}", "dc", f"10.0.0.{n + 1}:7002")
        nodes[address] = ControlNode(Identity(peer, address), _NoAssigner)
    sent = {"bytes": 0, "messages": 0}

    def handle(address: str, event: object, now: float) -> None:
        for action in nodes[address].handle(event, now, rng):
            if not isinstance(action, SendMessage) or action.peer_address == address:
                continue
            key = (address, action.peer_address)
            if key not in links:
                links[key] = (MessageEncoder(), MessageDecoder())
            encoder, decoder = links[key]
            data = encoder.encode(action.message).SerializeToString()
            sent["bytes"] += len(data)
            sent["messages"] += 1
            queue.append((key[1], decoder, data))

    def run(start: float, seconds: float) -> None:
        for step in range(int(seconds / TICK_INTERVAL_S)):
            now = start + step * TICK_INTERVAL_S
            for address in addresses:
                handle(address, Tick(), now)
            while queue:
                batch = queue[:]
                queue.clear()
                for target, decoder, data in batch:
                    message = decoder.decode(pb.ControlMessage.FromString(data))
                    handle(target, MessageReceived(message), now)

    queue: list[tuple[str, MessageDecoder, bytes]] = []
    changes = Changes(len(entries), entries, snapshot=True)
    for address in addresses:
        handle(address, PlatformAnswered(1000.0, changes, is_watch=False), 1000.0)
    run(1000.0, 2.0)
    sent.update(bytes=0, messages=0)
    started = process_time()
    run(1002.0, _SECONDS)
    spent = process_time() - started
    assert all(node.ready for node in nodes.values())
    per_node = members * _SECONDS
    return {
        "members": members,
        "blocks": blocks,
        "core_share": round(spent / per_node, 5),
        "messages_sent_per_s": round(sent["messages"] / per_node, 1),
        "payload_bytes_sent_per_s": round(sent["bytes"] / per_node),
    }


if __name__ == "__main__":
    results = [measure(m, b) for m in (3, 12, 48) for b in (12, 48, 192)]
    print(dumps(results, option=OPT_INDENT_2).decode())
