"""Texts of documents and announcements that are put into request headers."""


def is_sendable(text: str) -> bool:
    """Return whether a text can be the value of a header.

    Line breaks would begin another header, and spaces at its ends are lost.

    :param text: the text.
    """
    return text == text.strip() and not any(
        ord(character) < 32 or ord(character) == 127 for character in text
    )


def encode(text: str) -> str:
    """Return a text with one character for each byte that is sent.

    Texts outside Latin-1 are sent as UTF-8.

    :param text: a text that is sendable.
    """
    try:
        text.encode('latin-1')
    except UnicodeEncodeError:
        return text.encode('utf-8', 'replace').decode('latin-1')
    return text
