"""Action that records an event in the timeline."""

from dataclasses import dataclass

from oleandershift.events import EventName


@dataclass(frozen=True)
class RecordEvent:
    """Action: write an event to the timeline.

    Parameters
    ----------
    event : EventName
        Name of the event.
    grant, team, service, upstream : str
        Subjects of the event; empty where they don't apply.
    detail : str
        Additional text for readers.
    """

    event: EventName
    grant: str = ""
    team: str = ""
    service: str = ""
    upstream: str = ""
    detail: str = ""
