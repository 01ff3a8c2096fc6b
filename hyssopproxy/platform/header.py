"""Names of the platform's HTTP headers.

Names for lookups are in lower case; names with the prefix `SEND_` are written to the wire as they
are.
"""

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
SERVER_STAMP = b"server-stamp"  # signature that the leaf adds to each response
EXPECTED_INSTANCE = b"expected-instance"
NOT_EXECUTED = b"not-executed"
RETRY_AFTER = b"retry-after"
KEY = b"key"  # the caller's; never forwarded
TENANT = b"tenant"  # name of the organisation that has the key
SERVER_LEAVING = b"server-leaving"  # "1" in any answer of a leaf that leaves
STORE_ERA = b"store-era"  # rises when the store returns from an older copy
INSTANCE_ID = b"instance-id"  # of the leaf that answers 421
WARMUP_REMAINING = b"warmup-remaining"  # milliseconds until the leaf has warmed up

SEND_DEADLINE = b"Deadline-Ms"
SEND_EXPECTED_INSTANCE = b"Expected-Instance"
SEND_TENANT = b"Tenant"
SEND_RETRY_AFTER = b"Retry-After"
SEND_STORE_ERA = b"Store-Era"
SEND_PART_STAMPS = b"Part-Stamps"
SEND_MISSING_PARTS = b"Missing-Parts"
