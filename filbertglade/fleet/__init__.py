"""The state of a gateway: endpoints, replicas, the routing document."""
