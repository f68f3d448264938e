"""Contract of the platform stand-in: docs/INTERFACES.md, "Platform"."""

import threading
from collections.abc import Iterator

import pytest
import urllib3

from standins.platform import Outage, Platform, PlatformFaults, ResponseLoss

OBJECT = "/v1/objects/teams/a"
CREATE = {"If-None-Match": "*"}


@pytest.fixture
def platform() -> Iterator[Platform]:
    standin = Platform()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def http() -> urllib3.PoolManager:
    return urllib3.PoolManager(retries=False, timeout=10)


def test_write_with_a_wrong_condition_is_rejected(
    platform: Platform, http: urllib3.PoolManager
) -> None:
    url = platform.url + OBJECT
    assert http.request("PUT", url, body=b"1", headers=CREATE).status == 201
    assert http.request("PUT", url, body=b"1", headers=CREATE).status == 412
    stale = http.request("PUT", url, body=b"2", headers={"If-Match": '"7"'})
    assert (stale.status, stale.json()["version"]) == (412, 1)
    http.request("DELETE", url, headers={"If-Match": '"1"'})
    assert http.request("GET", url).status == 404
    again = http.request("PUT", url, body=b"3", headers=CREATE).json()
    assert (again["version"], again["revision"], again["value"]) == (3, 3, 3)


def test_list_is_split_into_pages(
    platform: Platform, http: urllib3.PoolManager
) -> None:
    for name in "abc":
        platform.store.put("teams", name, b"{}", None)
    url = f"{platform.url}/v1/objects/teams?limit=2"
    first = http.request("GET", url).json()
    rest = http.request("GET", f"{url}&after={first['next']}").json()
    assert [item["name"] for item in first["items"] + rest["items"]] == ["a", "b", "c"]
    assert (first["revision"], rest["next"]) == (3, None)


def test_watch_returns_on_a_change_and_fails_without_history(
    platform: Platform, http: urllib3.PoolManager
) -> None:
    writer = threading.Timer(0.1, platform.store.put, ("teams", "a", b"1", None))
    writer.start()
    res = http.request("GET", f"{platform.url}/v1/watch/teams?from=0&timeout=9")
    assert [event["type"] for event in res.json()["events"]] == ["put"]
    platform.store.forget_history()
    assert http.request("GET", f"{platform.url}/v1/watch/teams?from=0").status == 410


def test_outage_ends_a_waiting_watch(
    platform: Platform, http: urllib3.PoolManager
) -> None:
    faults = PlatformFaults(outage=Outage.UNAVAILABLE)
    threading.Timer(0.1, platform.set_faults, (faults,)).start()
    res = http.request("GET", f"{platform.url}/v1/watch/teams?from=0&timeout=9")
    assert res.status == 503


def test_write_takes_effect_although_its_response_is_lost(
    platform: Platform, http: urllib3.PoolManager
) -> None:
    platform.set_faults(PlatformFaults(lose=ResponseLoss.EVERY))
    with pytest.raises(urllib3.exceptions.HTTPError):
        http.request("PUT", platform.url + OBJECT, body=b"1", headers=CREATE)
    assert http.request("GET", platform.url + OBJECT).status == 200
    assert platform.counters().calls == {"put": 1, "get": 1}


def test_control_port_sets_faults_and_vms(
    platform: Platform, http: urllib3.PoolManager
) -> None:
    control = platform.control_url
    entry = {"name": "a", "region": "r", "ip": "127.0.0.1", "state": "leaving"}
    http.request("PUT", f"{control}/vms", json=[entry])
    assert http.request("GET", f"{platform.url}/v1/vms").json() == {"vms": [entry]}
    http.request("PUT", f"{control}/faults", json={"outage": "closed"})
    with pytest.raises(urllib3.exceptions.HTTPError):
        http.request("GET", platform.url + OBJECT)
    assert http.request("PUT", f"{control}/faults", json={"outage": "?"}).status == 400
