"""Addresses of the stand-in gateways."""

from standins import gateway_fleet


def test_subnet_of_another_process_is_not_used():
    own = gateway_fleet._claim()
    other = gateway_fleet._claim.__wrapped__()
    try:
        assert own.getsockname()[0] != other.getsockname()[0]
        assert own.getsockname()[0].startswith("127.31.")
        assert int(gateway_fleet._claimed_subnet()) < gateway_fleet.SUBNETS
    finally:
        other.close()
