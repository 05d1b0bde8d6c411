"""Cost of requests on an entry node: processor time, memory, claim latency.

The entry node is no control host. Its processor time and memory are read from
outside; callers and stand-in engines run in other processes.

    python -m benchmarks.entry
"""

import argparse
import asyncio
import pathlib
import tempfile
import time

import httpx
import psutil

from tests import cluster as clusters
from tests.requests import request_cluster

CALLERS = 20
SLOTS = 64
ENGINES = 6
WARM_UP = 50
SHORT_TOKENS = 4
LONG_TOKENS = 300
PACED_TOKEN_MS = 30
PACED_TOKENS = 200
PACED_STREAMS = 100
OPEN_STREAMS = 200
OPEN_TOKENS = 100_000
SETTLE_S = 3.0


def read_cpu_s(node: clusters.NodeProcess) -> float:
    """Return a node's processor time since its start, in seconds."""
    assert node.process is not None
    times = psutil.Process(node.process.pid).cpu_times()
    return float(times.user + times.system)


def read_memory_kb(node: clusters.NodeProcess) -> float:
    """Return a node's resident memory, in KiB."""
    assert node.process is not None
    return psutil.Process(node.process.pid).memory_info().rss / 1024


async def call(
    client: httpx.AsyncClient,
    node: clusters.NodeProcess,
    prompt: str,
    tokens: int,
    is_stream: bool,
    headers: dict[str, str],
) -> None:
    """Make one call and read its complete response."""
    body = request_cluster.build_body(prompt, tokens, is_stream)
    url = f'{node.url}/v1/chat/completions'
    async with client.stream(
        'POST',
        url,
        json=body,
        headers={**request_cluster.AUTHORIZED, **headers},
    ) as response:
        text = b''
        async for chunk in response.aiter_raw():
            text = (text + chunk)[-200:]
        assert response.status_code == 200, text
        assert not is_stream or b'"outcome": "complete"' in text, text


async def run_calls(
    node: clusters.NodeProcess,
    name: str,
    count: int,
    tokens: int,
    is_stream: bool,
    is_claimed: bool = False,
    callers: int = CALLERS,
) -> None:
    """Make calls concurrently.

    :param node: the node to call.
    :param name: start of all prompts.
    :param count: number of calls.
    :param tokens: tokens of each response.
    :param is_stream: whether responses are streamed.
    :param is_claimed: whether calls are not idempotent, so that the node
        claims their keys.
    :param callers: most calls in flight.
    """
    limits = httpx.Limits(max_connections=callers)
    async with httpx.AsyncClient(timeout=60, limits=limits) as client:
        semaphore = asyncio.Semaphore(callers)

        async def call_one(number: int) -> None:
            prompt = f'{name} {number}'
            headers = {}
            if is_claimed:
                headers = {'X-Idempotent': 'false', 'Idempotency-Key': prompt}
            async with semaphore:
                await call(client, node, prompt, tokens, is_stream, headers)

        await asyncio.gather(*(call_one(number) for number in range(count)))


def measure_cpu_ms(
    node: clusters.NodeProcess,
    name: str,
    count: int,
    tokens: int,
    is_stream: bool,
    is_claimed: bool = False,
    callers: int = CALLERS,
) -> float:
    """Return processor time a request, in ms, less that of an idle node."""
    asyncio.run(run_calls(node, 'warm ' + name, WARM_UP, 4, is_stream))
    idle_fraction = measure_idle_fraction(node)
    started_s = time.monotonic()
    before_s = read_cpu_s(node)
    asyncio.run(
        run_calls(node, name, count, tokens, is_stream, is_claimed, callers)
    )
    used_s = read_cpu_s(node) - before_s
    idle_s = idle_fraction * (time.monotonic() - started_s)
    return (used_s - idle_s) / count * 1000


def measure_paced_us(folder: pathlib.Path) -> float:
    """Return microseconds of processor time for a token that comes alone.

    Engines pace the tokens, so that a node rarely reads two at once.
    """
    with request_cluster.run_cluster(
        folder,
        others=1,
        engines=ENGINES,
        slots=SLOTS,
        token_ms=PACED_TOKEN_MS,
    ) as running:
        short_ms, long_ms = (
            measure_cpu_ms(
                running.nodes[-1],
                f'paced {tokens}',
                PACED_STREAMS,
                tokens,
                True,
                callers=PACED_STREAMS,
            )
            for tokens in (SHORT_TOKENS, PACED_TOKENS)
        )
    return (long_ms - short_ms) / (PACED_TOKENS - SHORT_TOKENS) * 1000


def measure_idle_fraction(node: clusters.NodeProcess) -> float:
    """Return the fraction of a core that a node uses without requests."""
    before_s = read_cpu_s(node)
    time.sleep(SETTLE_S)
    return (read_cpu_s(node) - before_s) / SETTLE_S


async def measure_stream_kb(node: clusters.NodeProcess) -> float:
    """Return memory for each stream in flight, in KiB."""
    before_kb = read_memory_kb(node)
    limits = httpx.Limits(max_connections=OPEN_STREAMS)
    async with httpx.AsyncClient(timeout=60, limits=limits) as client:
        tasks = [
            asyncio.create_task(
                call(client, node, f'open {i}', OPEN_TOKENS, True, {})
            )
            for i in range(OPEN_STREAMS)
        ]
        await asyncio.sleep(4 * SETTLE_S)
        during_kb = read_memory_kb(node)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return (during_kb - before_kb) / OPEN_STREAMS


def read_claims_ms(node: clusters.NodeProcess) -> dict[str, float]:
    """Return the quantiles of claim latency, in ms, by quantile."""
    quantiles_ms = {}
    for line in httpx.get(f'{node.url}/metrics').text.splitlines():
        if line.startswith('filbertglade_claim_ms{'):
            label, _, value = line.partition('} ')
            quantiles_ms[label.partition('"')[2].rstrip('"')] = float(value)
    return quantiles_ms


def main() -> None:
    """Run all measurements and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=600)
    parser.add_argument('--streams', type=int, default=80)
    options = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as folder,
        tempfile.TemporaryDirectory() as paced_folder,
        request_cluster.run_cluster(
            pathlib.Path(folder), others=1, engines=ENGINES, slots=SLOTS
        ) as running,
    ):
        node = running.nodes[-1]
        plain_ms = measure_cpu_ms(
            node, 'plain', options.requests, SHORT_TOKENS, False
        )
        claimed_ms = measure_cpu_ms(
            node, 'claimed', options.requests, SHORT_TOKENS, False, True
        )
        short_ms = measure_cpu_ms(
            node, 'short', options.streams, SHORT_TOKENS, True
        )
        long_ms = measure_cpu_ms(
            node, 'long', options.streams, LONG_TOKENS, True
        )
        token_us = (long_ms - short_ms) / (LONG_TOKENS - SHORT_TOKENS) * 1000
        stream_kb = asyncio.run(measure_stream_kb(node))
        claims_ms = read_claims_ms(node)
        running.cluster.close()
        paced_us = measure_paced_us(pathlib.Path(paced_folder))
        print('| what | figure |')
        print('|---|---|')
        print(f'| processor time a request | {plain_ms:.2f} ms |')
        print(f'| processor time a claimed request | {claimed_ms:.2f} ms |')
        print(f'| processor time a streamed token | {token_us:.0f} us |')
        print(
            f'| processor time a token that comes alone | {paced_us:.0f} us |'
        )
        print(f'| memory a stream in flight | {stream_kb:.0f} KB |')
        for quantile, value_ms in claims_ms.items():
            print(f'| claim latency, quantile {quantile} | {value_ms:g} ms |')


if __name__ == '__main__':
    main()
