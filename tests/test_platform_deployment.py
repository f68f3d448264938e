"""Check of deploy folders: all findings together, with their place."""

from pathlib import Path

import pytest

from oleandershift.cli.operator import main
from oleandershift.platform import deployment

GOOD = """\
build = "sh deploy/build.sh"
[roles.gateway]
run = "python3 -m oleandershift.cli.gateway"
on = "edge"
share = 1.0
serves = ["edge"]
metrics = "9464/metrics"
"""


@pytest.fixture
def folder(tmp_path):
    made = tmp_path / "deploy"
    made.mkdir()
    (made / deployment.FILE_NAME).write_text(GOOD)
    return made


def places(folder):
    return {finding.place for finding in deployment.check(folder).failure()}


def test_own_deploy_folder_is_good():
    own = Path(__file__).parents[1] / "deploy"
    assert deployment.check(own).unwrap() == ("gateway",)


@pytest.mark.parametrize(
    ("line", "other", "place"),
    [
        ('build = "sh deploy/build.sh"', "", "build"),
        ("share = 1.0", "share = 1.5", "roles.gateway.share"),
        ("share = 1.0", "", "roles.gateway.share"),
        ("share = 1.0", "share = 1.0\ncount = 2", "roles.gateway.share"),
        ("share = 1.0", "count = 0", "roles.gateway.count"),
        ('run = "python3', 'run = "env python3', "roles.gateway.run"),
        ('serves = ["edge"]', 'serves = ["all"]', "roles.gateway.serves"),
        ("9464/metrics", "metrics", "roles.gateway.metrics"),
        ('on = "edge"', 'on = "edge"\nat = 1', "roles.gateway"),
        ('on = "edge"', 'on = "edge"\ntemplate = "none"', "roles.gateway.template"),
    ],
)
def test_finding_has_its_place(folder, line, other, place):
    (folder / deployment.FILE_NAME).write_text(GOOD.replace(line, other))
    assert places(folder) == {place}


def test_findings_come_together(folder):
    text = GOOD.replace("share = 1.0", "share = 0").replace("9464", "x")
    (folder / deployment.FILE_NAME).write_text(text)
    assert places(folder) == {"roles.gateway.share", "roles.gateway.metrics"}


def test_two_programs_for_the_same_callers(folder):
    second = GOOD.partition("\n")[2].replace("gateway]", "second]")
    (folder / deployment.FILE_NAME).write_text(GOOD + second)
    assert places(folder) == {"roles.second.serves"}


def test_command(folder, capsys):
    assert main(["check", str(folder)]) == 0
    assert "gateway" in capsys.readouterr().out
    (folder / deployment.FILE_NAME).unlink()
    assert main(["check", str(folder)]) == 2
