"""What all long streams between the system's processes have in common."""

from grpclib import exceptions

# What ends a stream when its peer or the way to it fails.
LinkErrors = (
    OSError,
    EOFError,
    TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
)
