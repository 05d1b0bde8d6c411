"""Sentinel values that carry the reason of an expected failure.

A function whose failure is expected returns a :class:`Failure` in place of
its result. Each layer defines its own failures and converts those of the
layer below into them.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An expected failure; false in a condition.

    :param reason: what went wrong, from the layer's own enumeration.
    :param detail: one sentence for the log or the response.
    """

    reason: enum.Enum
    detail: str = ''

    def __bool__(self) -> bool:
        return False

    def __str__(self) -> str:
        name = str(self.reason.value)
        return f'{name}: {self.detail}' if self.detail else name
