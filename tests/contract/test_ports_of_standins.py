"""Ports of stand-ins that are started, stopped and started again in many processes."""

import pytest

from standins.metastore import MetaStore
from standins.modelengine import ModelEngine
from standins.ports import FIRST_PORT, PORT_COUNT
from standins.proxy import Proxy


def make_engine():
    return ModelEngine("e1")


def make_proxy():
    return Proxy("127.0.0.1", 1)


@pytest.mark.parametrize("make", [MetaStore, make_engine, make_proxy])
def test_standin_listens_on_a_port_that_no_other_test_process_gets(make):
    """A port of the ephemeral range would go to another process while it is closed."""
    port = make().port
    assert FIRST_PORT <= port < FIRST_PORT + PORT_COUNT
