"""Formats of the log: which commands every voter is able to apply.

A release adds kinds of commands. Voters of the earlier release would skip them
and go on with another state, so a leader appends them only once every voter
has reported a format that has them. The format that all voters had reached is
part of the agreed state: it never falls, and hosts with an older one don't
become voters.
"""

from collections import abc

from google.protobuf import unknown_fields

from filbertglade.inner import commands_pb2

# Format from which on voters apply a kind of command; other kinds were in the
# first release.
FORMAT_BY_KIND = {'evacuation_change': 1}
# Format from which on voters keep a first document of version 0, and let
# strays rest.
VERSION_ZERO_FORMAT = STRAYS_FORMAT = 2
NEWEST_FORMAT = max(*FORMAT_BY_KIND.values(), VERSION_ZERO_FORMAT)


class UnknownFormatError(Exception):
    """An entry or a snapshot was written by a newer release.

    :param detail: what isn't known.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(f'{detail} of a newer release')


def find_format(command: commands_pb2.Command) -> int:
    """Return the format that a voter needs to apply a command.

    :param command: the command.
    """
    kind = command.WhichOneof('kind') or ''
    if kind == 'put_document' and not command.put_document.version:
        return VERSION_ZERO_FORMAT
    if kind == 'replica_change' and command.replica_change.strays:
        return STRAYS_FORMAT
    return FORMAT_BY_KIND.get(kind, 0)


def check_known(command: commands_pb2.Command) -> None:
    """Check that a command is of a kind that this release knows.

    :param command: the command.
    :raises UnknownFormatError: it isn't.
    """
    if command.WhichOneof('kind') is None and len(
        unknown_fields.UnknownFieldSet(command)
    ):
        raise UnknownFormatError('a command')


def find_common_format(
    own_incarnation: str,
    own_name: str,
    reported: abc.Mapping[str, tuple[str, int]],
    table: abc.Mapping[str, str],
) -> int:
    """Return the newest format that all voters have reported.

    Voters without a known incarnation count in no quorum, and need a new
    enough format before they do.

    :param own_incarnation: this voter's own incarnation.
    :param own_name: its name.
    :param reported: by voter, the incarnation and the format that it has
        reported.
    :param table: incarnations by voter.
    :returns: the format; 0 if a voter has reported none.
    """
    formats = []
    for name, incarnation in table.items():
        if not incarnation:
            continue
        if name == own_name and incarnation == own_incarnation:
            formats.append(NEWEST_FORMAT)
            continue
        known_incarnation, known_format = reported.get(name, ('', 0))
        formats.append(known_format if known_incarnation == incarnation else 0)
    return min(formats, default=0)
