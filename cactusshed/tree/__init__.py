"""The settings tree: pure functions over branches and tree versions, without I/O."""
