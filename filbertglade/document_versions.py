"""Order of routing documents by version; None stands for no document."""


def is_newer(version: int | None, other: int | None) -> bool:
    """Return whether a document comes after another one.

    Versions begin with 0, so any document comes after none.

    :param version: the document's version.
    :param other: the version of the other one.
    """
    if version is None:
        return False
    return other is None or version > other
