"""Configuration revisions on their way to every entry."""
