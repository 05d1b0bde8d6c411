"""The control hosts' replicated log (Raft) and the state built from it."""
