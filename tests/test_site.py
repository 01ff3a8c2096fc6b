from bench import site as sites


def test_free_ports_are_distinct():
    host = sites.free_host()
    for _ in range(2000):
        assert len(set(sites.free_ports(host, 4))) == 4
