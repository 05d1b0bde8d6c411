"""What a gateway knows: endpoints, replicas and the routing document."""
