"""A channel that goes silent as a configuration has arrived on it leaves an
entry host with that configuration for good."""

import asyncio
import pathlib
import time

import harness
import silent_proxy

HERE = pathlib.Path(__file__).resolve().parent

CONTACT_S = 3.0
APPLY_S = 2.0
DROPPED = '/puxa403/'
KEPT = '/lohu930/'


async def work(folder, record):
    deployment = harness.Deployment(folder, record)
    silent_s = []

    def note_silent(proxy):
        for other in proxies:
            other.is_armed = False
        silent_s.append(time.monotonic())
        record.write(f'a channel from front-1 to {proxy.ip} goes silent')

    # front-1 reaches the control hosts that its seeds name through proxies:
    # the same addresses at another port.
    port = deployment._next_port(
        iter(range(deployment.inner_port + 10, 65000)), deployment.control_ips
    )
    proxies = [
        silent_proxy.SilentProxy(
            ip, port, (ip, deployment.inner_port), note_silent
        )
        for ip in deployment.control_ips
    ]
    path = deployment.entries[0].path
    path.write_text(
        path.read_text().replace(
            f'inner = "{deployment.entry_ips[0]}:{deployment.inner_port}"',
            f'inner = "{deployment.entry_ips[0]}:{port}"',
        )
    )
    worker = harness.Worker(deployment, 'nymi9b', 'one')
    try:
        for proxy in proxies:
            await proxy.start()
        await deployment.start()
        await deployment.find_leader()
        version = 7
        await deployment.put(harness.build_document(version))
        await worker.start()
        await deployment.wait_ready()
        await asyncio.sleep(3)
        _, answer, _ = await harness.request(
            deployment, 0, DROPPED + '2f', 'GET'
        )
        if answer is None or answer[0] != 200:
            raise harness.CannotRun('the first request is not served')

        # The operator changes the configuration every 1.5 s, until one of the
        # channels over which front-1 fetches it goes silent.
        for proxy in proxies:
            proxy.is_armed = harness.HAS_TROUBLE
        for _ in range(12 if harness.HAS_TROUBLE else 3):
            version += 3
            await deployment.put(harness.build_document(version))
            await asyncio.sleep(1.5)
            if silent_s:
                break
        if harness.HAS_TROUBLE and not silent_s:
            raise harness.CannotRun('no document came through a proxy')
        await asyncio.sleep(CONTACT_S)

        # In touch again. A newer version drops a route and a key.
        version += 3
        document = harness.build_document(version)
        document['routes'] = document['routes'][:1]
        document['customers'] = document['customers'][:1]
        await deployment.put(document)
        acked_s = time.monotonic()
        record.write(f'version {version} drops the route {DROPPED} and a key')
        await asyncio.sleep(APPLY_S + 0.5)
        broken = 0
        end_s = time.monotonic() + (40 if harness.HAS_TROUBLE else 6)
        while time.monotonic() < end_s:
            for entry in range(2):
                for what, path, key in (
                    ('on the dropped route', DROPPED, harness.KEY),
                    ('with the dropped key', KEPT, harness.SECOND_KEY),
                ):
                    request_id, answer, sent_s = await harness.request(
                        deployment, entry, path + '2f', 'GET', key=key
                    )
                    status = answer[0] if answer else 'no answer'
                    ran = any(
                        item[1] == request_id for item in worker.arrivals
                    )
                    record.write(
                        f'request {request_id} {what}, sent to '
                        f'front-{entry + 1} {sent_s - acked_s:.1f} s after '
                        f'the ack: {status}, {"run" if ran else "not run"}'
                    )
                    broken += ran
            await asyncio.sleep(1)
        record.say(
            f'{broken} requests ran on a route or with a key that a version '
            f'dropped which was acknowledged over {APPLY_S:.0f} s before'
        )
        for line in deployment.entries[0].read_log():
            if str(line.get('message_type', '')).startswith('document.'):
                record.write(f'log of front-1: {line}')
        return harness.BROKEN if broken else harness.HELD
    finally:
        for proxy in proxies:
            proxy.close()
        await deployment.close()


harness.run_case(HERE, work)
