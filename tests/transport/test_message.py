from hyssopproxy.transport import message


def test_hop_by_hop_headers_are_not_forwarded():
    headers = [
        (b"Connection", b"close, X-Own"),
        (b"X-Own", b"1"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Content-Length", b"3"),
        (b"X-Kept", b"2"),
    ]
    assert message.end_to_end_headers(headers) == [(b"X-Kept", b"2")]
    assert message.end_to_end_headers(headers, {b"x-kept"}) == []


def test_response_to_head_request_has_length_but_no_body():
    response = message.Response(200, [], b"abc")
    data = message.encode_response(response, keep_alive=True, has_body=False)
    assert data.endswith(b"Content-Length: 3\r\n\r\n")
