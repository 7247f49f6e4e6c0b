"""Commands, output and node connection of the operators' tool."""
