"""Selection of the endpoint that runs a request."""
