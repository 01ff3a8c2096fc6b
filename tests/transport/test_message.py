from hyssopproxy.transport import message


def test_headers_of_one_connection_are_not_passed_on():
    headers = [
        (b"Connection", b"close, X-Own"),
        (b"X-Own", b"1"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Content-Length", b"3"),
        (b"X-Kept", b"2"),
    ]
    assert message.end_to_end_headers(headers) == [(b"X-Kept", b"2")]
    assert message.end_to_end_headers(headers, {b"x-kept"}) == []


def test_an_answer_to_a_head_request_has_a_length_and_no_body():
    response = message.Response(200, [], b"abc")
    data = message.encode_response(response, keep_alive=True, has_body=False)
    assert data.endswith(b"Content-Length: 3\r\n\r\n")
