"""Coroutines on a loop whose time is virtual."""

import asyncio
from collections import abc
import typing

import async_solipsism


def run(work: abc.Coroutine[typing.Any, typing.Any, typing.Any]) -> typing.Any:
    """Run a coroutine to its end; sleeping costs no real time."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(work)
