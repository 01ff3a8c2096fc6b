"""Settings files with bytes or values that cannot be read: refused with a reason, at any time."""

import signal

import pytest

from bench import site as sites
from hyssopproxy import problem
from hyssopproxy.platform import nodefile

VALID = """
node = "n"
ip = "10.0.0.1"
zone = "z"
internalPorts = [7000, 7001]
seeds = []
{top}
[listen]
front = "10.0.0.1:80"
readinessAddr = "10.0.0.1:81"
[platform]
address = "10.0.0.2:80"
[bounds]
{bounds}
"""
HUGE_HEX = "0x1" + "0" * 5000  # Python refuses to print it
ODD = {
    "huge_integer": VALID.format(top="", bounds="graceS = 1" + "0" * 5000),
    "huge_hexadecimal": VALID.format(top="", bounds=f"graceS = {HUGE_HEX}"),
    "beyond_a_float": VALID.format(top="", bounds="graceS = 1" + "0" * 400),
    "negative_huge": VALID.format(top="", bounds=f"graceS = -1{'0' * 400}"),
    "nan": VALID.format(top="", bounds="graceS = nan"),
    "infinity": VALID.format(top="", bounds="graceS = inf"),
    "hexadecimal_section": VALID.format(top=f"limits = {HUGE_HEX}", bounds=""),
    "hexadecimal_seeds": VALID.format(top="", bounds="").replace("[]", f"[{HUGE_HEX}]"),
    "hexadecimal_name": VALID.format(top="", bounds="").replace('"n"', HUGE_HEX),
    "hexadecimal_address": VALID.format(top="", bounds="").replace('"10.0.0.1:80"', HUGE_HEX),
    "deep": VALID.format(top="x = " + "[" * 100_000, bounds=""),
    "deep_tables": VALID.format(top="x = " + "{a=" * 100_000, bounds=""),
    "latin-1": VALID.format(top='x = "é"', bounds="").encode("latin-1"),
    "nul": b"\x00" * 100,
}


@pytest.mark.parametrize("name", sorted(ODD))
def test_odd_file_is_refused_with_a_reason(name, tmp_path):
    path = tmp_path / "node.toml"
    text = ODD[name]
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(problem.UserError) as raised:
        nodefile.load(str(path))
    assert raised.value.errors and len(str(raised.value)) < 5000


def test_daemon_keeps_its_settings_while_its_file_is_odd():
    """The next valid file is applied."""

    async def scenario(site):
        daemon = site.daemons[0]

        async def wait_for_line(event):
            await sites.wait_for(
                lambda: [line for line in daemon.log if line["event"] == event], event
            )

        for number, (_, text) in enumerate(sorted(ODD.items())):
            with open(daemon.settings_path, "wb") as file:
                file.write(text if isinstance(text, bytes) else text.encode())
            daemon.signal(signal.SIGHUP)
            await wait_for_line("settings_refused")
            assert (await site.get(daemon)).status == 200
            site.write_settings(daemon, seeds=[f"127.0.0.1:{number + 1}"])
            daemon.signal(signal.SIGHUP)
            await wait_for_line("settings")
            assert not [line for line in daemon.log if line["event"] == "internal_error"]
            daemon.log.clear()
        assert daemon.process.returncode is None

    sites.run_scenario(scenario)
