"""Tests of the embedding example and of the exported names."""

import subprocess
import sys
from pathlib import Path

import pytest

import oleandershift

EXAMPLES = Path(__file__).parent.parent / "examples"


def test_embedded_library_shares_by_weight() -> None:
    process = subprocess.run(
        [sys.executable, str(EXAMPLES / "embed.py")],
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    large, small = (int(part.split()[1]) for part in process.stdout.split(", "))
    assert large / small == pytest.approx(3, rel=0.15)


@pytest.mark.parametrize("name", oleandershift.__all__)
def test_exported_name_exists(name: str) -> None:
    assert getattr(oleandershift, name).__name__ == name


def test_unknown_name_raises_attribute_error() -> None:
    with pytest.raises(AttributeError, match="no attribute 'Router'"):
        oleandershift.Router  # noqa: B018
