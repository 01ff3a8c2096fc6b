import pytest

from hyssopproxy.engine import datagram

RECORD = datagram.MemberRecord("10.9.0.1", "domain-a", 5, 1, 2, 3)
MESSAGES = (
    datagram.Gossip(RECORD, (RECORD,)),
    datagram.Reports(
        "domain-a", 2400.0, 100.0, (datagram.Report("i-1", datagram.Symptom.LATE, 20, 4.5),)
    ),
    datagram.LostDomains("domain-a", ("domain-b",)),
    datagram.Ping("10.9.0.1"),
    datagram.Misdirected((datagram.MisdirectedTarget("i-1", "10.2.0.1:80", 5),)),
    datagram.Answers((datagram.Answer("i-1", 20, 1.1),)),
    datagram.QuotaAsk("10.9.0.1", 5, 3, (datagram.QuotaItem(2**64 - 1, 9, 1, 2, 1, 7, 4.0, 8.0),)),
    datagram.QuotaAnswer("10.9.0.1", 3, (datagram.QuotaGrant(2**64 - 1, 12, 40, "?", 2),)),
)


@pytest.mark.parametrize("message", MESSAGES)
def test_decoded_message_equals_the_encoded_one(message):
    assert datagram.decode(datagram.encode(message)) == message


@pytest.mark.parametrize("message", MESSAGES)
def test_truncated_datagram_decodes_to_none(message):
    blob = datagram.encode(message)
    assert all(datagram.decode(blob[:size]) is None for size in range(len(blob)))


@pytest.mark.parametrize("blob", [b"", b"\x00\x01", b"\x92\x63\xa1x", b"\xff" * 100])
def test_malformed_datagram_decodes_to_none(blob):
    assert datagram.decode(blob) is None
