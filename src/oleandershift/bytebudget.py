"""Bound of the bytes that all requests of a process hold together."""


class ByteBudget:
    """Bytes that may be held at the same time.

    Parameters
    ----------
    max_bytes : float
        Limit of all reservations together; `inf` for none.

    Attributes
    ----------
    reserved_bytes : int
        Sum of the present reservations.
    """

    def __init__(self, max_bytes: float) -> None:
        self._max_bytes = max_bytes
        self.reserved_bytes = 0

    def try_reserve(self, size: int) -> bool:
        """Reserve bytes; return False if the limit does not allow it."""
        if self.reserved_bytes + size > self._max_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back reserved bytes."""
        self.reserved_bytes -= size
