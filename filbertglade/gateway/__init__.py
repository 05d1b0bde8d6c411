"""The processes of a gateway: control hosts and entry hosts."""
