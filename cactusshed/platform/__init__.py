"""The users' platform: its wire names, and their translation to our types."""
