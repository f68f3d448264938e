"""Command `oleander timeline`."""

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from oleandershift.cli.logfiles import read_file_lines
from oleandershift.cli.options import add_json_flag, print_json
from oleandershift.exceptions import OleanderError
from oleandershift.rendering import describe_faults, render_html, render_text
from oleandershift.timeline import Filter, Timeline


def add_parser(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Add the command's parser."""
    parser = subparsers.add_parser(
        "timeline",
        help="show the events of all processes in order",
        description="Merge the logs of many processes into one time line.",
    )
    parser.add_argument(
        "logs", nargs="+", metavar="LOG", help="a log of JSON lines, or a directory"
    )
    parser.add_argument("--request", default="", help="only this request")
    parser.add_argument("--team", default="", help="only this team")
    parser.add_argument("--upstream", default="", help="only this upstream")
    parser.add_argument("--service", default="", help="only this service")
    form = parser.add_mutually_exclusive_group()
    form.add_argument("--text", action="store_true", help="print text (the default)")
    form.add_argument("--html", metavar="FILE", help="write a self-contained page")
    add_json_flag(form)


def _log_files(names: list[str]) -> Iterator[Path]:
    for name in names:
        path = Path(name)
        if path.is_dir():
            yield from sorted(path.glob("*.log")) + sorted(path.glob("*.jsonl"))
        else:
            yield path


def _read(names: list[str]) -> Timeline:
    timeline = Timeline()
    for path in _log_files(names):
        timeline.add_lines(read_file_lines(path))
    return timeline


def _write(path: Path, page: str) -> None:
    try:
        path.write_text(page, encoding="utf-8")
    except OSError as exc:
        raise OleanderError(f"{path}: {exc.strerror}") from exc


def run(args: argparse.Namespace) -> int:
    """Run the command."""
    timeline = _read(args.logs)
    wanted = Filter(args.request, args.team, args.upstream, args.service)
    events = timeline.events(wanted)
    note = describe_faults(timeline.faults)
    if note:
        print(note, file=sys.stderr)
    if args.json:
        print_json(events)
    elif args.html:
        _write(Path(args.html), render_html(events, timeline.faults))
        print(f"{args.html}: {len(events)} events", file=sys.stderr)
    else:
        for line in render_text(events):
            print(line)
    return 0
