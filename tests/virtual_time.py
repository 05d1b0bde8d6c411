"""Runs coroutines on an event loop with a virtual clock."""

import asyncio
from collections import abc
import typing

import async_solipsism


def run(
    coroutine: abc.Coroutine[typing.Any, typing.Any, typing.Any],
) -> typing.Any:
    """Run a coroutine to completion; sleeps take no real time.

    The clock jumps to the next timer once no task can run.
    """
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(coroutine)
