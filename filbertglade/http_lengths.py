"""Announced lengths of HTTP bodies."""

# Digits of a length that are read: more than any limit has. Python refuses to
# read numbers of thousands of digits.
MAX_DIGITS = 19


def read_length(text: str) -> int:
    """Return an announced length, in bytes.

    :param text: the value of the header.
    :returns: the length, or at least a part of it that is over any limit; 0
        if the text is no number, which the HTTP library refuses.
    """
    return int(text.lstrip('0')[:MAX_DIGITS] or 0) if text.isdecimal() else 0
