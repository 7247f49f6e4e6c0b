"""Policy decisions as pure functions and plain state, without I/O or clocks."""
