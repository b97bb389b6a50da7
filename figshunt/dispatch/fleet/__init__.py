"""Models the runners and the other hosts that send to them."""
