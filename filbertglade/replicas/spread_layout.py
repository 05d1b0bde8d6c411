"""Spreads the groups of each model over data centres.

If a data centre is lost or evacuated, each model keeps its groups in the
others, and no model loses more than its part.
"""

from collections import abc

from filbertglade.replicas import layout


def fit_groups(
    endpoints: abc.Mapping[str, int],
    places: abc.Mapping[str, str],
    sizes: abc.Sequence[int],
    wanted: abc.Sequence[int],
) -> dict[str, layout.Counts]:
    """Choose how many groups of each kind go into each fabric domain.

    A kind is an index into the sizes: the groups of one model. The numbers of
    a kind's groups in two data centres differ by one at most, as far as they
    fit.

    :param endpoints: number of endpoints in each domain.
    :param places: the data centre of each domain.
    :param sizes: endpoints in a group of each kind.
    :param wanted: groups of each kind over all domains.
    :returns: groups of each kind by domain.
    """
    by_place: dict[str, dict[str, int]] = {}
    for domain, count in endpoints.items():
        by_place.setdefault(places[domain], {})[domain] = count
    shares = _divide(
        {place: sum(inside.values()) for place, inside in by_place.items()},
        sizes,
        wanted,
    )
    packed: dict[str, layout.Counts] = {}
    for place, inside in by_place.items():
        packed |= layout.fit_groups(inside, sizes, shares[place])
    return packed


def _divide(
    free: dict[str, int],
    sizes: abc.Sequence[int],
    wanted: abc.Sequence[int],
) -> dict[str, list[int]]:
    """Divide the groups of each kind among data centres.

    :param free: number of endpoints in each data centre.
    :param sizes: endpoints in a group of each kind.
    :param wanted: groups of each kind.
    :returns: groups of each kind by data centre.
    """
    free = dict(free)
    shares = {place: [0 for _ in sizes] for place in free}
    # The largest groups first: they fit into the fewest places.
    for kind in sorted(range(len(sizes)), key=lambda kind: -sizes[kind]):
        for _ in range(wanted[kind]):
            fitting = [place for place in free if free[place] >= sizes[kind]]
            if not fitting:
                break
            place = min(
                fitting, key=lambda name: (shares[name][kind], -free[name])
            )
            shares[place][kind] += 1
            free[place] -= sizes[kind]
    return shares
