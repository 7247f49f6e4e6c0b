"""Reports of the organisations' usage to the platform, a duty of one node."""
