"""Faults that tests inject into a stand-in host."""

import asyncio
from collections import abc
import dataclasses
import json
import random

from tornado import web

from filbertglade import schema
from filbertglade.standin import settings as standin_settings

BAD_REQUEST = 400
NEVER = -1


@dataclasses.dataclass(slots=True)
class FaultPlan:
    """Faults to inject into a host.

    :param cut_at_token: number of tokens after which a response is cut off;
        -1 for never.
    :param cut_times: number of responses to cut off.
    :param forgets: whether a response that was cut off can't be resumed.
    :param hold_at_token: number of tokens after which a response stalls
        until a plan releases it; -1 for never.
    :param releases: whether stalled responses continue.
    :param refuses_continuations: whether the host refuses to continue the
        text of another engine.
    :param crash_marker: text in a request body that crashes the host;
        empty for none.
    :param crash_at_token: number of tokens to generate before that crash.
    :param late_ms: maximum random delay of a response.
    :param not_run_times: number of calls to refuse as not run.
    :param error_times: number of calls that fail with a server error.
    """

    __pydantic_config__ = schema.STRICT

    cut_at_token: int = NEVER
    cut_times: int = 1
    forgets: bool = False
    hold_at_token: int = NEVER
    releases: bool = False
    refuses_continuations: bool = False
    crash_marker: str = ''
    crash_at_token: int = 0
    late_ms: int = 0
    not_run_times: int = 0
    error_times: int = 0


class Faults:
    """Applies the current fault plan of a host.

    :ivar plan: the current plan.
    """

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        host: str,
        crash: abc.Callable[[], None],
    ) -> None:
        self._rng = random.Random(f'{settings.seed}/{host}/faults')
        self._crash_host = crash
        self._released = asyncio.Event()
        self.plan = FaultPlan(crash_marker=settings.crash_marker)

    def replace_plan(self, plan: FaultPlan) -> None:
        """Replace the current plan.

        :param plan: the new plan.
        """
        self.plan = plan
        if plan.releases:
            self._released.set()
            self._released = asyncio.Event()

    async def wait_for_release(self) -> None:
        """Wait until a plan releases the stalled responses."""
        await self._released.wait()

    async def delay(self) -> None:
        """Wait for a random time of at most ``late_ms``."""
        if self.plan.late_ms:
            late_ms = self._rng.uniform(0, self.plan.late_ms)
            await asyncio.sleep(late_ms / 1000)

    def consume_refusal(self) -> bool:
        """Return whether to refuse this call as not run, and count it."""
        self.plan.not_run_times -= 1
        return self.plan.not_run_times >= 0

    def consume_error(self) -> bool:
        """Return whether this call fails with a server error, and count it."""
        self.plan.error_times -= 1
        return self.plan.error_times >= 0

    def consume_cut(self, token: int) -> bool:
        """Return whether to cut off a response now, and count it if so.

        :param token: number of tokens sent so far.
        """
        plan = self.plan
        if token != plan.cut_at_token or plan.cut_times <= 0:
            return False
        plan.cut_times -= 1
        return True

    def should_hold(self, token: int) -> bool:
        """Return whether a response stalls now.

        :param token: number of tokens sent so far.
        """
        return token == self.plan.hold_at_token

    def crash_if_planned(self, body: bytes, token: int) -> bool:
        """Crash the host if the plan says so.

        :param body: the call's body.
        :param token: number of tokens sent so far.
        :returns: whether the host crashed.
        """
        plan = self.plan
        if not plan.crash_marker or token < plan.crash_at_token:
            return False
        if plan.crash_marker.encode() not in body:
            return False
        self._crash_host()
        return True

    def crash(self) -> None:
        """Crash the host."""
        self._crash_host()


class FaultsHandler(web.RequestHandler):
    """Receives fault plans from tests."""

    def initialize(
        self, faults: Faults, leave: abc.Callable[[], None]
    ) -> None:
        """Set the objects of the host.

        :param faults: the faults of this host.
        :param leave: makes the host announce that it is leaving.
        """
        self._faults = faults
        self._leave = leave

    async def put(self, what: str) -> None:
        """Replace the plan, or make the host announce that it is leaving.

        :param what: the last part of the path.
        """
        if what == 'leaving':
            self._leave()
            return
        data = json.loads(self.request.body)
        plan, problems = schema.decode(FaultPlan, data)
        if plan is None:
            self.set_status(BAD_REQUEST)
            self.finish('; '.join(map(str, problems)))
            return
        self._faults.replace_plan(plan)
        self.finish({})

    async def delete(self, _: str) -> None:
        """Crash the host."""
        self._faults.crash()
