"""Ports of test processes that run at the same time."""

import json
import subprocess
import sys

PROCESSES = 4
# Several blocks of ports.
PORTS = 500
SCRIPT = f"""
import json
from tests import cluster

print(json.dumps(cluster.find_free_ports({PORTS})), flush=True)
input()
"""


# Guards against tests that failed as a program of another run of tests had
# taken the port that was chosen for their own.
def test_processes_at_the_same_time_get_different_ports():
    processes = [
        subprocess.Popen(
            [sys.executable, '-c', SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(PROCESSES)
    ]
    ports = [
        port
        for process in processes
        for port in json.loads(process.stdout.readline())
    ]
    for process in processes:
        process.communicate('\n')
    assert len(set(ports)) == PROCESSES * PORTS
