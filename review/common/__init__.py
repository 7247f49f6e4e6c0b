"""Stand-ins that the cases share; besides Python they need `attrs` of the build."""
