"""Fixtures: a gateway in the process of the test, with a store and an upstream."""

from functools import partial

import pytest
import scriptedupstreams

from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.gateway import Gateway
from oleandershift.platform import settings
from standins import gateway_fleet
from standins.gateway_fleet import METRICS_PORT, configuration
from standins.metastore import MetaStore
from standins.modelengine import ModelEngine
from standins.ports import free_ip

NETWORK = "127.37"


@pytest.fixture
def store():
    created = MetaStore()
    created.start()
    yield created
    created.stop()


@pytest.fixture
def engine(store):
    created = ModelEngine("e1")
    created.start()
    store.put("config", "main", configuration(1))
    store.put("servers", "e1", created.entry("model", "one"))
    yield created
    created.stop()


@pytest.fixture
def ip():
    return free_ip(NETWORK)


@pytest.fixture
def retry_ratio():
    """Return the share of requests that may be repeated; modules may replace it."""
    return 0.2


@pytest.fixture
def settings_path(tmp_path, store, ip, retry_ratio):
    path = tmp_path / "vm.toml"
    address = f"127.0.0.1:{store.port}"
    text = gateway_fleet.vm_settings("vm", ip, address)
    path.write_text(text.replace("retryRatio = 0.2", f"retryRatio = {retry_ratio}"))
    return path


@pytest.fixture
def vm_settings(settings_path):
    return settings.read(settings_path).unwrap()


@pytest.fixture
def make_gateway(engine, settings_path, vm_settings):
    log = DecisionLog(vm_settings.vm, "ERROR")
    return lambda: Gateway(vm_settings, settings_path, METRICS_PORT, log)


@pytest.fixture
def gateway(make_gateway):
    return make_gateway()


@pytest.fixture
def play(store, settings_path, vm_settings, monkeypatch):
    """Return a function that plays calls against scripted upstreams."""
    monkeypatch.setattr("oleandershift.io.gateway.UNREADY_SERVING_SECONDS", 0.0)
    return partial(scriptedupstreams.play, store, settings_path, vm_settings)
