"""Room on the links between regions, for bodies of requests and answers."""


class Pacer:
    """Let bytes pass between this region and others."""

    async def take(self, region: str, size: int, bulk: bool) -> None:
        """Wait until `size` bytes may go to or come from `region`.

        Args:
            region: The other end's region.
            size: Bytes about to be sent or read.
            bulk: Whether they belong to a large body.
        """
