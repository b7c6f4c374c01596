"""Whether a request is let in now, queued or refused."""
