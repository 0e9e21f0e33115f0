"""Callers' answers while servers answer requests twice, with different statuses."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from aiohttp import ClientError
from fleet_site import HOST, ORDER
from multidict import CIMultiDict

from basilwick.fakes.second_answers import SecondAnswers

#: Requests of one play, and how many of them are sent at a time.
REQUESTS = 600
CONCURRENT_REQUESTS = 12


async def play(site, rng, **options):
    """Return the answers that no server gave first, as (kind, status, answers).

    A refusal of an order that a server ran is one of them.
    """
    for server in site.servers:
        server.second_answers = SecondAnswers(rng, **options)
    wrong = []

    async def call(number):
        request_id = f"s{number}"
        index = number % len(site.instances)
        order = number % 3 == 0
        key = str(rng.randrange(65_536))
        try:
            if order:
                response = await site.order(index, **{"X-Request-Id": request_id})
            else:
                response = await site.read(key, index, **{"X-Request-Id": request_id})
        except ClientError:
            return
        signature = response.headers.get("X-Response-Signature")
        if response.status != 200 and signature is None:
            ran = any(run.request_id == request_id for run in site.runs)
            if order and ran and response.status == 503:
                wrong.append(("order", 503, ["ran"]))
            return
        answers = [
            (status, server.name)
            for server in site.servers
            for answered_id, status in server.first_answers
            if answered_id == request_id
        ]
        whole = response.status != 200 or response.body == signature.encode() * 10
        if (response.status, signature) not in answers or not whole:
            wrong.append(("order" if order else "read", response.status, answers))

    for first in range(0, REQUESTS, CONCURRENT_REQUESTS):
        numbers = range(first, first + CONCURRENT_REQUESTS)
        await asyncio.gather(*(call(number) for number in numbers))
    return wrong


@pytest.mark.parametrize(
    "statuses",
    [(200, 200, 500), (200, 200, 503), (200, 500, 503)],
    ids=["failing", "rejecting", "both"],
)
async def test_a_second_answer_with_another_status_reaches_no_caller(site, statuses):
    """Callers got a success where the server had answered a failure."""
    assert await play(site, Random(1), statuses=statuses) == []


async def test_a_second_answer_without_identity_refuses_no_order_that_ran(site):
    """A late rejection of another request was taken for that of an order."""
    options = {"statuses": (200, 200, 503), "identified": False}
    assert await play(site, Random(3), **options) == []


async def test_a_request_without_identity_gets_no_late_answer_to_another_one(site):
    """Any answer was accepted for a request that has no identity to compare."""
    for server in site.servers:
        server.second_answers = SecondAnswers(Random(4), share=1.0, statuses=(200, 500))
    wrong = []
    for number in range(60):
        await site.read(1, number % 2)
        await asyncio.sleep(0.005)
        response = await site.read(1, number % 2, **{"X-Request-Id": None})
        identity = CIMultiDict(response.headers).get("X-Request-Id")
        wrong += [identity] if identity else []
    assert wrong == []


async def test_a_request_with_two_identities_gets_its_answer(site):
    """A server that echoes the first one was never believed, and orders got 504."""
    fields = CIMultiDict({"Host": HOST, "X-Request-Deadline-Ms": "1000"})
    fields.extend([("X-Request-Id", "one"), ("X-Request-Id", "two")])
    url = f"http://{site.caller_addresses[0]}{ORDER}x"
    async with site._session.post(url, data=b"{}", headers=fields) as response:
        assert response.status == 200


async def test_a_second_answer_cut_off_in_its_head_reaches_no_caller(site):
    """The next answer was read as the rest of the head, with the status of both."""
    assert await play(site, Random(2), statuses=(200, 500, 503), cut=True) == []
