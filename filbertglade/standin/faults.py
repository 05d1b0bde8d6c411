"""Faults that a stand-in host can be told to have."""

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
    """What goes wrong on a host.

    :param cut_at_token: cuts a stream after so many tokens; -1 for never.
    :param cut_times: how many streams are cut.
    :param forgets: whether a stream that was cut can't be resumed.
    :param hold_at_token: an answer that has given so many tokens gives no
        more until a plan releases it; -1 for never.
    :param releases: whether answers that are held go on.
    :param refuses_continuations: whether it goes on with no other engine's
        text.
    :param crash_marker: dies when it runs a body that holds this text.
    :param crash_at_token: how many tokens it gives before it does.
    :param late_ms: answers up to so much later, at random.
    :param not_run_times: how many calls it refuses as not run.
    :param error_times: how many calls it fails with a server error.
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
    """A host's present faults.

    :ivar plan: what goes wrong.
    """

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        host: str,
        die: abc.Callable[[], None],
    ) -> None:
        self._rng = random.Random(f'{settings.seed}/{host}/faults')
        self._die = die
        self._released = asyncio.Event()
        self.plan = FaultPlan(crash_marker=settings.crash_marker)

    def replace_plan(self, plan: FaultPlan) -> None:
        """Take another plan.

        :param plan: what goes wrong from now on.
        """
        self.plan = plan
        if plan.releases:
            self._released.set()
            self._released = asyncio.Event()

    async def wait_for_release(self) -> None:
        """Wait until a plan releases the answers that are held."""
        await self._released.wait()

    async def delay(self) -> None:
        """Wait as long as an answer is to be late."""
        if self.plan.late_ms:
            late_ms = self._rng.uniform(0, self.plan.late_ms)
            await asyncio.sleep(late_ms / 1000)

    def takes_not_run(self) -> bool:
        """Return whether this call is refused as not run."""
        self.plan.not_run_times -= 1
        return self.plan.not_run_times >= 0

    def takes_error(self) -> bool:
        """Return whether this call fails with a server error."""
        self.plan.error_times -= 1
        return self.plan.error_times >= 0

    def cuts(self, token: int) -> bool:
        """Return whether a stream is cut now.

        :param token: how many tokens it has given.
        """
        plan = self.plan
        if token != plan.cut_at_token or plan.cut_times <= 0:
            return False
        plan.cut_times -= 1
        return True

    def holds(self, token: int) -> bool:
        """Return whether an answer gives nothing more.

        :param token: how many tokens it has given.
        """
        return token == self.plan.hold_at_token

    def crashes(self, body: bytes, token: int) -> bool:
        """Return whether the host dies now, and let it die.

        :param body: the call's body.
        :param token: how many tokens it has given.
        """
        plan = self.plan
        if not plan.crash_marker or token < plan.crash_at_token:
            return False
        if plan.crash_marker.encode() not in body:
            return False
        self._die()
        return True

    def die(self) -> None:
        """Let the host die."""
        self._die()


class FaultsHandler(web.RequestHandler):
    """Takes fault plans from tests."""

    def initialize(
        self, faults: Faults, leave: abc.Callable[[], None]
    ) -> None:
        """Take the host's parts.

        :param faults: its faults.
        :param leave: lets it announce that it is leaving.
        """
        self._faults = faults
        self._leave = leave

    async def put(self, what: str) -> None:
        """Take a plan, or let the host leave.

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
        """Let the host die."""
        self._faults.die()
