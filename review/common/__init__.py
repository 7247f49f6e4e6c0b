"""Stand-ins that the cases of the review share; they need only the standard library."""
