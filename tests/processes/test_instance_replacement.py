"""Instances as processes that are replaced or killed under load."""

from __future__ import annotations

from asyncio import create_task, gather, sleep
from time import monotonic

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from process_site import (
    KEYS,
    SERVICE,
    TARGET_S,
    assert_served_again,
    run_load,
    run_process_site,
)

from basilwick.testing import assert_at_most_once, assert_one_owner, wait_for_port

_CALLERS_PER_INSTANCE = 4


async def _call_until(session, name, port, stop, answered, cut):
    """Send requests one after another, each on a connection of its own.

    A request counts as accepted once its connection was opened. One that is answered
    with an unknown outcome was cut off behind the instance.
    """
    number = 0
    while not stop:
        number += 1
        url = f"http://127.0.0.1:{port}/v1/{SERVICE}/{KEYS[number % len(KEYS)]}"
        method = "GET" if number % 2 else "POST"
        began_at = monotonic()
        try:
            async with session.request(method, url) as answer:
                await answer.read()
                kind = answer.headers.get("Basilwick-Error", answer.status)
                answered[kind] = answered.get(kind, 0) + 1
                if answer.headers.get("Basilwick-Outcome") == "unknown":
                    cut.append((name, method, kind, monotonic() - began_at))
        except ClientConnectorError:
            await sleep(0.02)
        except (ClientError, TimeoutError) as error:
            cut.append((name, method, repr(error), monotonic() - began_at))
        await sleep(0.02)


async def test_rolling_replacement_cuts_off_no_request(tmp_path):
    # Guards against an instance that closes connections with a request on them when it
    # is asked to end, and against one that ends with an error.
    answered, cut, stop, exit_codes = {}, [], [], []
    async with (
        run_process_site(tmp_path) as site,
        ClientSession(
            connector=TCPConnector(limit=0, force_close=True),
            timeout=ClientTimeout(total=5.0),
        ) as session,
    ):
        callers = [
            create_task(_call_until(session, name, port, stop, answered, cut))
            for name, port in site.caller_ports.items()
            for _ in range(_CALLERS_PER_INSTANCE)
        ]
        for _ in range(2):
            for name, instance in site.instances.items():
                await instance.stop()
                exit_codes.append((name, instance.exit_code))
                await instance.start()
                # An instance accepts callers once it is ready.
                await wait_for_port(site.caller_ports[name])
        stop.append(True)
        await gather(*callers)
        runs = site.read_runs()
    assert [code for _, code in exit_codes] == [0] * 6, exit_codes
    assert not cut, f"{len(cut)} requests cut off, answers {answered}: {cut[:10]}"
    assert answered.get(200, 0) > 0, answered
    assert_one_owner(runs)


async def test_keys_stay_served_when_an_instance_dies_in_an_outage(tmp_path):
    # Guards against duties of a lost instance that pass on only through the platform.
    async with run_process_site(tmp_path) as site:
        # Callers of the lost instance connect to the others.
        async with run_load(site.addresses[1:]) as callers:
            await sleep(1.0)
            await site.set_platform_faults(down=True)
            await sleep(0.5)
            lost_at = monotonic()
            await site.instances["a-0"].kill()
            await sleep(TARGET_S + 1.5)
        runs = site.read_runs()
        assert_at_most_once(runs)
        assert_one_owner(runs)
        assert_served_again(callers, lost_at)
