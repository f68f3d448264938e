"""Action that reports an event for the time line."""

from dataclasses import dataclass

from oleandershift.events import EventName


@dataclass(frozen=True)
class RecordEvent:
    """Action: write an event to the time line.

    Parameters
    ----------
    event : EventName
        What happened.
    grant, team, service, upstream : str
        What it happened to; empty where it does not apply.
    detail : str
        Further text for a reader.
    """

    event: EventName
    grant: str = ""
    team: str = ""
    service: str = ""
    upstream: str = ""
    detail: str = ""
