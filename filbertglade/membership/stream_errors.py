"""What all long streams between the system's processes have in common."""

from grpclib import exceptions
from h2 import exceptions as h2_exceptions

# What ends a stream when its peer or the way to it fails.
StreamErrors = (
    OSError,
    EOFError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
    h2_exceptions.ProtocolError,
)
