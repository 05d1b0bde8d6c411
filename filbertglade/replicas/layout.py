"""Packs groups of several sizes into fabric domains."""

from collections import abc
import itertools
import math

Counts = tuple[int, ...]


def pack_groups(
    endpoints: abc.Mapping[str, int],
    sizes: abc.Sequence[int],
    wanted: abc.Sequence[int],
) -> dict[str, Counts] | None:
    """Choose how many groups of each kind go into each fabric domain.

    A kind is an index into the sizes: the groups of one model.

    :param endpoints: number of endpoints in each domain.
    :param sizes: endpoints in a group of each kind.
    :param wanted: groups of each kind over all domains.
    :returns: groups of each kind by domain, with the endpoints that no group
        takes spread as evenly as possible; None if the groups don't fit.
    """
    # The best score of the domains so far, and their groups, by the number of
    # groups of each kind that they hold together.
    best: dict[Counts, tuple[float, dict[str, Counts]]] = {
        tuple(0 for _ in sizes): (0.0, {})
    }
    for domain, count in endpoints.items():
        fits = list(_list_fits(count, sizes))
        following: dict[Counts, tuple[float, dict[str, Counts]]] = {}
        for placed, (score, chosen) in best.items():
            for fit in fits:
                total = tuple(map(sum, zip(placed, fit, strict=True)))
                if any(
                    have > want
                    for have, want in zip(total, wanted, strict=True)
                ):
                    continue
                spares = count - _count_endpoints(fit, sizes)
                # The logarithm makes the first spares of a domain worth the
                # most.
                new_score = score + math.log1p(spares)
                previous = following.get(total)
                if previous is None or previous[0] < new_score:
                    following[total] = (new_score, {**chosen, domain: fit})
        best = following
    found = best.get(tuple(wanted))
    return found[1] if found is not None else None


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
