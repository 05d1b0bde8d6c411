"""Packs groups of several sizes into fabric domains."""

from collections import abc
import itertools
import math
import operator

Counts = tuple[int, ...]

# Maximum number of combinations tried for one layout. The search blocks the
# event loop, and with it the heartbeats of a leader.
MAX_STEPS = 300_000


def fit_groups(
    endpoints: abc.Mapping[str, int],
    sizes: abc.Sequence[int],
    wanted: abc.Sequence[int],
) -> dict[str, Counts]:
    """Choose how many groups of each kind go into each fabric domain.

    A kind is an index into the sizes: the groups of one model. While the
    wanted groups don't fit, the most frequent kind gets one group less.

    :param endpoints: number of endpoints in each domain.
    :param sizes: endpoints in a group of each kind.
    :param wanted: groups of each kind over all domains.
    :returns: groups of each kind by domain.
    """
    remaining = list(wanted)
    steps_left = MAX_STEPS
    while any(remaining):
        steps = _count_steps(endpoints, sizes, remaining)
        if steps <= steps_left:
            steps_left -= steps
            packed = pack_groups(endpoints, sizes, remaining)
        else:
            packed = spread_groups(endpoints, sizes, remaining)
        if packed is not None:
            return packed
        remaining[max(range(len(sizes)), key=remaining.__getitem__)] -= 1
    return {}


def _count_steps(
    endpoints: abc.Mapping[str, int],
    sizes: abc.Sequence[int],
    wanted: abc.Sequence[int],
) -> int:
    """Return how many combinations :func:`pack_groups` tries at most."""
    fits = {
        count: sum(1 for _ in _list_fits(count, sizes))
        for count in set(endpoints.values())
    }
    return sum(fits[count] for count in endpoints.values()) * math.prod(
        count + 1 for count in wanted
    )


def spread_groups(
    endpoints: abc.Mapping[str, int],
    sizes: abc.Sequence[int],
    wanted: abc.Sequence[int],
) -> dict[str, Counts] | None:
    """Place one group after the other, the largest first.

    Each goes where most endpoints are left. This takes no longer with more
    kinds, but doesn't find every layout that is possible.

    :param endpoints: number of endpoints in each domain.
    :param sizes: endpoints in a group of each kind.
    :param wanted: groups of each kind over all domains.
    :returns: groups of each kind by domain; None if a group found no place.
    """
    remaining = dict(endpoints)
    placed = {domain: [0 for _ in sizes] for domain in endpoints}
    for kind in sorted(range(len(sizes)), key=lambda kind: -sizes[kind]):
        for _ in range(wanted[kind]):
            domain = max(
                remaining, key=lambda name: remaining[name], default=None
            )
            if domain is None or remaining[domain] < sizes[kind]:
                return None
            remaining[domain] -= sizes[kind]
            placed[domain][kind] += 1
    return {domain: tuple(counts) for domain, counts in placed.items()}


def pack_groups(
    endpoints: abc.Mapping[str, int],
    sizes: abc.Sequence[int],
    wanted: abc.Sequence[int],
) -> dict[str, Counts] | None:
    """Find the layout that spreads the remaining endpoints most evenly.

    :param endpoints: number of endpoints in each domain.
    :param sizes: endpoints in a group of each kind.
    :param wanted: groups of each kind over all domains.
    :returns: groups of each kind by domain; None if the groups don't fit.
    """
    # The groups placed so far are encoded as one number, with a digit for each
    # kind, which is faster to add and to look up than a tuple.
    strides = [
        math.prod(count + 1 for count in wanted[:kind])
        for kind in range(len(sizes))
    ]
    # The best score of the domains so far, by the groups placed in them.
    best = {0: 0.0}
    choices: list[tuple[str, dict[int, Counts]]] = []
    for domain, count in endpoints.items():
        following: dict[int, float] = {}
        chosen: dict[int, Counts] = {}
        for fit in _list_fits(count, sizes):
            if any(map(operator.gt, fit, wanted)):
                continue
            added = sum(map(operator.mul, fit, strides))
            # The logarithm makes the first spares of a domain worth the most.
            gain = math.log1p(count - _count_endpoints(fit, sizes))
            limits = [
                (stride, want + 1, want - have)
                for stride, want, have in zip(
                    strides, wanted, fit, strict=True
                )
            ]
            for placed, score in best.items():
                for stride, base, most in limits:
                    if placed // stride % base > most:
                        break
                else:
                    total = placed + added
                    previous = following.get(total)
                    if previous is None or previous < score + gain:
                        following[total] = score + gain
                        chosen[total] = fit
        best = following
        choices.append((domain, chosen))
    placed = sum(map(operator.mul, wanted, strides))
    if placed not in best:
        return None
    packed = {}
    for domain, chosen in reversed(choices):
        packed[domain] = chosen[placed]
        placed -= sum(map(operator.mul, packed[domain], strides))
    return packed


def _list_fits(
    endpoints: int, sizes: abc.Sequence[int]
) -> abc.Iterator[Counts]:
    """Yield the numbers of groups of each kind that fit into a domain."""
    ranges = [range(endpoints // size + 1) for size in sizes]
    for fit in itertools.product(*ranges):
        if _count_endpoints(fit, sizes) <= endpoints:
            yield fit


def _count_endpoints(fit: Counts, sizes: abc.Sequence[int]) -> int:
    return sum(count * size for count, size in zip(fit, sizes, strict=True))


def count_groups(
    endpoints: int, sizes: abc.Sequence[int], weights: abc.Sequence[float]
) -> list[int]:
    """Divide endpoints between kinds of groups.

    :param endpoints: number of endpoints that groups may take.
    :param sizes: endpoints in a group of each kind.
    :param weights: wanted number of groups of each kind, relative to the
        other kinds.
    :returns: groups of each kind.
    """
    counts = [0 for _ in sizes]
    remaining = endpoints
    while True:
        fitting = [
            kind for kind, size in enumerate(sizes) if size <= remaining
        ]
        if not fitting:
            return counts
        kind = min(
            fitting, key=lambda kind: (counts[kind] + 1) / weights[kind]
        )
        counts[kind] += 1
        remaining -= sizes[kind]
