"""Packs groups of several sizes into fabric domains."""

from collections import abc
import itertools
import math

Counts = tuple[int, ...]


def pack_groups(
    hosts: abc.Mapping[str, int],
    sizes: abc.Sequence[int],
    wanted: abc.Sequence[int],
) -> dict[str, Counts] | None:
    """Find how many groups of each size go into each domain.

    :param hosts: hosts of each domain.
    :param sizes: hosts of a group of each kind.
    :param wanted: groups of each kind over all domains.
    :returns: groups of each kind by domain, with the spares spread evenly;
        None if they don't fit.
    """
    best: dict[Counts, tuple[float, dict[str, Counts]]] = {
        tuple(0 for _ in sizes): (0.0, {})
    }
    for domain, count in hosts.items():
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
                spares = count - _count_hosts(fit, sizes)
                # The first spares of a domain are worth the most.
                reached = score + math.log1p(spares)
                known = following.get(total)
                if known is None or known[0] < reached:
                    following[total] = (reached, {**chosen, domain: fit})
        best = following
    found = best.get(tuple(wanted))
    return found[1] if found is not None else None


def _list_fits(hosts: int, sizes: abc.Sequence[int]) -> abc.Iterator[Counts]:
    ranges = [range(hosts // size + 1) for size in sizes]
    for fit in itertools.product(*ranges):
        if _count_hosts(fit, sizes) <= hosts:
            yield fit


def _count_hosts(fit: Counts, sizes: abc.Sequence[int]) -> int:
    return sum(count * size for count, size in zip(fit, sizes, strict=True))


def count_groups(
    hosts: int, sizes: abc.Sequence[int], weights: abc.Sequence[float]
) -> list[int]:
    """Divide hosts between kinds of groups.

    :param hosts: hosts that groups may take.
    :param sizes: hosts of a group of each kind.
    :param weights: how many groups of each kind, against the others.
    :returns: groups of each kind.
    """
    counts = [0 for _ in sizes]
    left = hosts
    while True:
        fitting = [kind for kind, size in enumerate(sizes) if size <= left]
        if not fitting:
            return counts
        kind = min(
            fitting, key=lambda kind: (counts[kind] + 1) / weights[kind]
        )
        counts[kind] += 1
        left -= sizes[kind]
