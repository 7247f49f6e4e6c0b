"""Mesh membership: the nodes and the targets on them."""
