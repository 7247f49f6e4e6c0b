"""Messages between nodes; the modules beside this one are generated."""
