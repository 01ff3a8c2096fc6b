from hyssopproxy import ctl
from hyssopproxy import daemon


def test_generated_keys_do_not_begin_like_a_flag(monkeypatch, capsys):
    keys = iter([(b"", b"-first"), (b"", b"second")])
    monkeypatch.setattr(ctl.zmq, "curve_keypair", lambda: next(keys))
    ctl.key()
    assert capsys.readouterr().out == "second\n"


def test_key_that_begins_like_a_flag_is_accepted(monkeypatch):
    """Keys of earlier versions of `hyssopctl key` may begin with a dash."""
    seen = {}
    monkeypatch.setattr(daemon.settings_module, "read", lambda flags, _: seen.update(flags))
    monkeypatch.setattr(daemon, "configure_logs", lambda: None)

    async def serve(settings):
        return 0

    monkeypatch.setattr(daemon, "serve", serve)
    monkeypatch.setattr(daemon.sys, "argv", ["hyssopproxyd", "--vm", "a", "--peer-key", "-k=2"])
    try:
        daemon.main()
    except SystemExit as end:
        assert end.code == 0
    assert (seen["vm"], seen["peer_key"]) == ("a", "-k=2")
