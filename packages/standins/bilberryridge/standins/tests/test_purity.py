from bilberryridge.standins import purity


def test_a_clock_a_socket_and_another_package_are_refused():
    for name in ("time", "socket", "concurrent.futures", "bilberryridge.transport.x"):
        assert not purity.is_allowed(name)


def test_the_pure_packages_are_pure():
    assert purity.main() == 0
