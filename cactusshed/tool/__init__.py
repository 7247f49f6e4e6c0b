"""Parts of the operators' tool: its session, commands and what it prints."""
