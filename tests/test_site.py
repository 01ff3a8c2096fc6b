from bench import site as sites


def test_the_ports_of_a_daemon_differ():
    host = sites.free_host()
    for _ in range(2000):
        assert len(set(sites.free_ports(host, 4))) == 4
