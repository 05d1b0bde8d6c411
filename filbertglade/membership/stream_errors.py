"""Errors that end a stream between two of the system's processes."""

from grpclib import exceptions
from h2 import exceptions as h2_exceptions

# Raised when the peer of a stream or the connection to it fails.
StreamErrors = (
    OSError,
    EOFError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
    h2_exceptions.ProtocolError,
)
