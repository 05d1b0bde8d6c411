"""The gateway's processes: control hosts and entry hosts."""
