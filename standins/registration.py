"""Entries that register upstreams with the platform."""


def registration(
    address: str,
    born_ms: int,
    service: str = "model",
    zone: str = "one",
    version: str = "v1",
    state: str = "ready",
    slots: int = 8,
    sequence: int = 1,
) -> dict[str, object]:
    """Return the entry of an upstream, with all fields that the platform's pages list.

    Parameters
    ----------
    address : str
        IP address and port.
    born_ms : int
        Start of its run, Unix milliseconds of its host.
    service, zone, version, state : str
        Its service, data centre, software version and state.
    slots : int
        Requests that it runs at a time.
    sequence : int
        Number of the report.
    """
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": version,
        "slots": slots,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": sequence,
        "born": born_ms,
    }
