from bilberryridge.standins import purity


def test_clock_socket_and_other_packages_are_not_allowed():
    for name in ("time", "socket", "concurrent.futures", "bilberryridge.transport.x"):
        assert not purity.is_allowed(name)


def test_the_pure_packages_are_pure():
    assert purity.main() == 0
