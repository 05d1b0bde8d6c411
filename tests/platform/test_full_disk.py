"""A control host that starts while its disk refuses writes."""

import asyncio
import resource
import subprocess

from tests.fleet import documents
from tests.platform import deployment

FULL_S = 3


# Guards against a process that ends because it can't write at its start: on a
# disk that is full for some seconds it would end again and again.
async def test_control_host_starts_once_its_disk_takes_writes(tmp_path):
    deployed = deployment.Deployment(tmp_path)
    process = deployed.control
    try:
        # The limit holds for its log too.
        await process.start(stdout=subprocess.DEVNULL)
        pid = process.process.pid
        unlimited = resource.RLIM_INFINITY
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, unlimited))
        await asyncio.sleep(FULL_S)
        assert process.process.returncode is None, process.log.read_text()
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (unlimited, unlimited))
        await deployed.put_until_accepted(documents.PLAIN)
    finally:
        await deployed.close()
