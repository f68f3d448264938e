"""Check of deploy folders."""

from pathlib import Path

import pytest

from oleandershift.cli.operator import main
from oleandershift.platform import deployment

VALID = """\
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
    deploy_folder = tmp_path / "deploy"
    deploy_folder.mkdir()
    (deploy_folder / deployment.FILE_NAME).write_text(VALID)
    return deploy_folder


def places(folder):
    return {finding.place for finding in deployment.check(folder).failure()}


def test_deploy_folder_of_the_project_is_valid():
    project_folder = Path(__file__).parents[1] / "deploy"
    assert deployment.check(project_folder).unwrap() == ("gateway",)


@pytest.mark.parametrize(
    ("line", "replacement", "place"),
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
def test_invalid_field_is_a_finding_with_its_place(folder, line, replacement, place):
    (folder / deployment.FILE_NAME).write_text(VALID.replace(line, replacement))
    assert places(folder) == {place}


def test_all_findings_are_returned_together(folder):
    text = VALID.replace("share = 1.0", "share = 0").replace("9464", "x")
    (folder / deployment.FILE_NAME).write_text(text)
    assert places(folder) == {"roles.gateway.share", "roles.gateway.metrics"}


def test_two_programs_with_the_same_audience_are_a_finding(folder):
    second = VALID.partition("\n")[2].replace("gateway]", "second]")
    (folder / deployment.FILE_NAME).write_text(VALID + second)
    assert places(folder) == {"roles.second.serves"}


def test_check_command_exits_with_2_without_a_deploy_file(folder, capsys):
    assert main(["check", str(folder)]) == 0
    assert "gateway" in capsys.readouterr().out
    (folder / deployment.FILE_NAME).unlink()
    assert main(["check", str(folder)]) == 2
