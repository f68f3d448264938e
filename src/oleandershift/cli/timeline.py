"""Command `oleander timeline`: merge the logs of many processes."""

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
        description="Merge the logs of many processes into one timeline.",
    )
    parser.add_argument(
        "logs",
        nargs="+",
        metavar="LOG",
        help="log file of JSON lines, or a directory of them",
    )
    parser.add_argument("--request", default="", help="only this request")
    parser.add_argument("--team", default="", help="only this team")
    parser.add_argument("--upstream", default="", help="only this upstream")
    parser.add_argument("--service", default="", help="only this service")
    output_group = parser.add_mutually_exclusive_group()
    output_group.add_argument(
        "--text", action="store_true", help="print text (the default)"
    )
    output_group.add_argument(
        "--html", metavar="FILE", help="write a self-contained page"
    )
    add_json_flag(output_group)


def _expand_paths(names: list[str]) -> Iterator[Path]:
    for name in names:
        path = Path(name)
        if path.is_dir():
            yield from sorted(path.glob("*.log")) + sorted(path.glob("*.jsonl"))
        else:
            yield path


def _read_timeline(names: list[str]) -> Timeline:
    timeline = Timeline()
    for path in _expand_paths(names):
        timeline.add_lines(read_file_lines(path))
    return timeline


def _write_page(path: Path, page: str) -> None:
    try:
        path.write_text(page, encoding="utf-8")
    except OSError as exc:
        raise OleanderError(f"{path}: {exc.strerror}") from exc


def run(args: argparse.Namespace) -> int:
    """Run the command and return the exit code."""
    timeline = _read_timeline(args.logs)
    event_filter = Filter(args.request, args.team, args.upstream, args.service)
    events = timeline.events(event_filter)
    fault_summary = describe_faults(timeline.faults)
    if fault_summary:
        print(fault_summary, file=sys.stderr)
    if args.json:
        print_json(events)
    elif args.html:
        _write_page(Path(args.html), render_html(events, timeline.faults))
        print(f"{args.html}: {len(events)} events", file=sys.stderr)
    else:
        for line in render_text(events):
            print(line)
    return 0
