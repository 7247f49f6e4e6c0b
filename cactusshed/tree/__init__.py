"""The settings tree: pure functions over branches and versions, no I/O."""
