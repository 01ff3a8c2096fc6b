"""Reads from the head of an answer whether the leaf states that it leaves or is closed."""

import re

from hyssopproxy.engine import event
from hyssopproxy.platform import header
from hyssopproxy.transport import message

MAX_SHOWN_BYTES = 40  # of a value that is logged
# Dates and exponents are excluded, and numbers that are longer than any plausible time.
_SECONDS = re.compile(rb"\d{1,12}(\.\d{0,9})?|\.\d{1,9}")


def parse(
    target_id: str, started_at_ms: int, status: int, headers: message.Headers
) -> event.TargetStated | None:
    """Return what a leaf states, or None if it states nothing.

    A 421 comes from another leaf that has the address now, and applies to the one that it names.
    """
    is_leaving = message.get_header(headers, header.SERVER_LEAVING) == b"1"
    value = message.get_header(headers, header.RETRY_AFTER) if status == 503 else None
    if not is_leaving and value is None:
        return None
    if status == 421:
        name = message.get_header(headers, header.INSTANCE_ID)
        if name is None:
            return None
        return event.TargetStated(name.decode("latin-1"), None, is_leaving)
    if value is not None and not _SECONDS.fullmatch(value.strip()):
        shown = value[:MAX_SHOWN_BYTES].decode("latin-1")
        return event.TargetStated(target_id, started_at_ms, is_leaving, ignored=shown or "empty")
    closed_s = 0.0 if value is None else float(value)
    return event.TargetStated(target_id, started_at_ms, is_leaving, closed_s)
