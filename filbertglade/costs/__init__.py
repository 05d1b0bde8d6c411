"""What requests cost, what endpoints have left to do, and what follows."""
