"""Distribution of accepted versions to all nodes, and their acknowledgements."""
