"""Messages between daemons over ZeroMQ, authenticated with CURVE keys."""

import typing

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from hyssopproxy import message

MAX_MESSAGE_BYTES = 2 << 20
MAX_QUEUED_MESSAGES = 100  # per peer; further messages are dropped
HEARTBEAT_MS = 2000
HEARTBEAT_TIMEOUT_MS = 4000
MAX_RECONNECT_MS = 1000


class _FleetKeyVerifier:
    """Accepts only daemons that hold the key of the fleet."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        return key == self._public


class PeerLink:
    """Receives on one socket, sends on one per peer; drops what cannot be sent or queued."""

    def __init__(self, bind: str, secret: str, counters: typing.Any) -> None:
        self._context = zmq.asyncio.Context()
        self._secret = secret.encode()
        self._public = zmq.curve_public(self._secret) if secret else b""
        self._counters = counters
        self._senders: dict[str, zmq.asyncio.Socket] = {}
        self._authenticator = None
        if secret:
            self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback("*", _FleetKeyVerifier(self._public))
        self._receiver = self._context.socket(zmq.ROUTER)
        self._receiver.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._receiver.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        self._receiver.setsockopt(zmq.LINGER, 0)
        if secret:
            self._receiver.curve_server = True
            self._receiver.curve_secretkey = self._secret
            self._receiver.curve_publickey = self._public
        self._receiver.bind(f"tcp://{bind}")

    def send(self, address: str, outgoing: message.Message) -> None:
        """Send a message; drop and count it if there is no connection or the queue is full."""
        sender = self._senders.get(address) or self._connect(address)
        blob = message.encode(outgoing)
        self._counters["peer_messages_sent"] += 1
        self._counters["peer_bytes_sent"] += len(blob)
        try:
            zmq.Socket.send(sender, blob, zmq.NOBLOCK)
        except zmq.Again:
            self._counters["peer_messages_dropped"] += 1

    def _connect(self, address: str) -> zmq.asyncio.Socket:
        sender = zmq.Socket(self._context, zmq.DEALER)
        sender.setsockopt(zmq.LINGER, 0)
        sender.setsockopt(zmq.IMMEDIATE, 1)
        sender.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        sender.setsockopt(zmq.RCVHWM, 1)  # peers do not answer on this socket; it is never read
        sender.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        sender.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
        sender.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        sender.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        if self._secret:
            sender.curve_serverkey = self._public
            sender.curve_secretkey = self._secret
            sender.curve_publickey = self._public
        sender.connect(f"tcp://{address}")
        self._senders[address] = sender
        return sender

    def close_except(self, addresses: typing.Container[str]) -> None:
        """Close the sockets to all peers except those at `addresses`."""
        for address in [peer for peer in self._senders if peer not in addresses]:
            self._senders.pop(address).close()

    async def receive(self) -> message.Message:
        """Return the next valid message; drop and count malformed ones."""
        while True:
            frames = await self._receiver.recv_multipart()
            self._counters["peer_messages_received"] += 1
            self._counters["peer_bytes_received"] += len(frames[-1])
            received = message.decode(frames[-1]) if len(frames) == 2 else None
            if received is not None:
                return received
            self._counters["peer_messages_garbled"] += 1

    def close(self) -> None:
        """Close all sockets; drop the messages still queued."""
        if self._authenticator is not None:
            self._authenticator.stop()
        self._receiver.close()
        self.close_except(())
        self._context.term()
