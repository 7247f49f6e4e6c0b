"""How accepted versions reach every node, and how acknowledgements return."""
