"""Message signatures and replay protection between entries."""

from collections.abc import Mapping
import enum
import hashlib
import hmac
import json
import re

import attrs

from baobabdoor import base
from baobabdoor.membership import _messages

STEP = "membership.verify"
HEADER_PREFIX = "Baobabdoor-Peer-"
# Messages of one sender on parallel connections are reordered by far less than
# this.
SEQUENCE_WINDOW = 1024
MAX_SENDERS = 2 * _messages.MAX_ZONES * 9

_NAME = re.compile(_messages.NAME_PATTERN)


class Direction(enum.Enum):
    """Direction of a message; prevents replays of requests as responses."""

    REQUEST = "request"
    RESPONSE = "answer"


@attrs.frozen
class Envelope:
    """Sender, receiver and signature of a message.

    Attributes:
        sender: Entry that signs the message.
        receiver: Entry that the message is addressed to.
        incarnation: Incarnation of the sender's process.
        receiver_incarnation: Incarnation of the receiver's process; 0 if the
            sender does not know it yet.
        sequence: Sequence number of the request; a response repeats it.
        signature: HMAC-SHA256 in hexadecimal.
    """

    sender: str
    receiver: str
    incarnation: int
    receiver_incarnation: int
    sequence: int
    signature: str = ""

    def to_headers(self) -> dict[str, str]:
        """Returns the HTTP headers that carry the envelope."""
        return {
            HEADER_PREFIX + name.title().replace("_", "-"): str(value)
            for name, value in attrs.asdict(self).items()
        }

    @classmethod
    def from_headers(
        cls, headers: Mapping[str, str]
    ) -> "Envelope | base.Refusal":
        """Parses the headers that `to_headers` returns."""
        texts = {
            field.name: headers.get(
                HEADER_PREFIX + field.name.title().replace("_", "-"), ""
            )
            for field in attrs.fields(cls)
        }
        numbers = ("incarnation", "receiver_incarnation", "sequence")
        for name, text in texts.items():
            is_number = re.fullmatch("[0-9]{1,16}", text) is not None
            if name in numbers and not is_number:
                return _forged("", f"malformed {name}")
            if name not in numbers and not _NAME.fullmatch(text):
                return _forged("", f"malformed {name}")
        values = {
            name: int(text) if name in numbers else text
            for name, text in texts.items()
        }
        return cls(**values)


@attrs.frozen
class SignedContent:
    """Content that a signature covers in addition to the envelope.

    Attributes:
        path: Path of the request; for a response, followed by its status.
        headers: Headers that must arrive unchanged.
        body: Body of the message.
        claimed_body_digest: Digest that a header states of a body that is not
            known yet; empty if the body is known.
    """

    path: str
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    claimed_body_digest: str = ""

    def body_digest(self) -> str:
        """Returns the SHA-256 digest of the body in hexadecimal."""
        return self.claimed_body_digest or hashlib.sha256(self.body).hexdigest()

    def digest(self) -> str:
        """Returns a SHA-256 digest of the path, headers and body."""
        headers = sorted(
            (name.lower(), value) for name, value in self.headers.items()
        )
        text = json.dumps([self.path, headers])
        signed_text = f"{text}\n{self.body_digest()}"
        return hashlib.sha256(signed_text.encode()).hexdigest()


@attrs.define
class _SenderState:
    incarnation: int
    highest_sequence: int = 0
    seen_sequences: set[int] = attrs.field(factory=set)


class PeerSigner:
    """Signs messages of this process and verifies messages of peers.

    Args:
        key: Key that all entries share.
        entry_id: Identifier of this entry.
        incarnation: Incarnation of this process.
    """

    PARAMETER_CONSTRAINTS = {
        "incarnation": base.Interval(1, _messages.MAX_INTEGER, integer=True)
    }

    def __init__(self, key: bytes, entry_id: str, incarnation: int):
        self.key = key
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.sequence_ = 0
        self.senders_: dict[str, _SenderState] = {}
        self.known_incarnations_: dict[str, int] = {}

    def sign_request(self, receiver: str, content: SignedContent) -> Envelope:
        """Returns the envelope of a new request."""
        if not self.sequence_:
            base.validate(self)
        self.sequence_ += 1
        envelope = Envelope(
            self.entry_id,
            receiver,
            self.incarnation,
            self.known_incarnations_.get(receiver, 0),
            self.sequence_,
        )
        return self._sign(Direction.REQUEST, envelope, content)

    def sign_response(
        self, request: Envelope, content: SignedContent
    ) -> Envelope:
        """Returns the envelope of the response to a verified request."""
        envelope = Envelope(
            self.entry_id,
            request.sender,
            self.incarnation,
            request.incarnation,
            request.sequence,
        )
        return self._sign(Direction.RESPONSE, envelope, content)

    def check_header(
        self, envelope: Envelope, content: SignedContent
    ) -> base.Refusal | None:
        """Returns why a request's body need not be read, or None.

        Unlike `verify_request`, it does not use up the sequence number, since
        the body may still differ from its claimed digest.
        """
        refusal = self._verify(Direction.REQUEST, envelope, content)
        sender = self.senders_.get(envelope.sender)
        if refusal is None and (
            envelope.receiver_incarnation == self.incarnation
            and sender is not None
            and envelope.incarnation == sender.incarnation
            and envelope.sequence in sender.seen_sequences
        ):
            return _forged(envelope.sender, "replayed message")
        return refusal

    def verify_request(
        self, envelope: Envelope, content: SignedContent
    ) -> base.Refusal | None:
        """Returns why a request must not be processed, or None.

        `Reason.PEER_GONE` means that the sender does not know this process
        yet; a signed response contains the incarnation.
        """
        refusal = self._verify(Direction.REQUEST, envelope, content)
        if refusal is not None:
            return refusal
        if envelope.receiver_incarnation != self.incarnation:
            detail = f"meant for incarnation {envelope.receiver_incarnation}"
            return base.Refusal(
                base.Reason.PEER_GONE, STEP, envelope.sender, detail
            )
        return self._check_sequence(envelope)

    def verify_response(
        self, request: Envelope, envelope: Envelope, content: SignedContent
    ) -> base.Refusal | None:
        """Returns why a response must not be trusted, or None."""
        refusal = self._verify(Direction.RESPONSE, envelope, content)
        if refusal is not None:
            return refusal
        if (
            envelope.sender != request.receiver
            or envelope.receiver_incarnation != self.incarnation
            or envelope.sequence != request.sequence
        ):
            return _forged(envelope.sender, "response to another request")
        if envelope.incarnation < self.known_incarnations_.get(
            envelope.sender, 0
        ):
            return _forged(envelope.sender, "response of an earlier process")
        self.known_incarnations_[envelope.sender] = envelope.incarnation
        return None

    def _check_sequence(self, envelope: Envelope) -> base.Refusal | None:
        sender = self.senders_.get(envelope.sender)
        if sender is None and len(self.senders_) >= MAX_SENDERS:
            return _forged(envelope.sender, "too many senders")
        if sender is None or envelope.incarnation > sender.incarnation:
            sender = _SenderState(envelope.incarnation)
            self.senders_[envelope.sender] = sender
        elif envelope.incarnation < sender.incarnation:
            return _forged(envelope.sender, "message of an earlier process")
        lowest = sender.highest_sequence - SEQUENCE_WINDOW
        if (
            envelope.sequence <= lowest
            or envelope.sequence in sender.seen_sequences
        ):
            return _forged(envelope.sender, "replayed message")
        sender.seen_sequences.add(envelope.sequence)
        sender.highest_sequence = max(
            sender.highest_sequence, envelope.sequence
        )
        if len(sender.seen_sequences) > 2 * SEQUENCE_WINDOW:
            lowest = sender.highest_sequence - SEQUENCE_WINDOW
            sender.seen_sequences = {
                sequence
                for sequence in sender.seen_sequences
                if sequence > lowest
            }
        return None

    def _verify(
        self, direction: Direction, envelope: Envelope, content: SignedContent
    ) -> base.Refusal | None:
        expected = self._signature(direction, envelope, content)
        if not hmac.compare_digest(expected, envelope.signature):
            return _forged(envelope.sender, "wrong signature")
        if envelope.receiver != self.entry_id:
            detail = f"meant for {envelope.receiver}"
            return _forged(envelope.sender, detail)
        return None

    def _sign(
        self, direction: Direction, envelope: Envelope, content: SignedContent
    ) -> Envelope:
        signature = self._signature(direction, envelope, content)
        return attrs.evolve(envelope, signature=signature)

    def _signature(
        self, direction: Direction, envelope: Envelope, content: SignedContent
    ) -> str:
        parts = [
            direction.value,
            envelope.sender,
            envelope.receiver,
            str(envelope.incarnation),
            str(envelope.receiver_incarnation),
            str(envelope.sequence),
            content.digest(),
        ]
        text = "\n".join(parts).encode()
        return hmac.new(self.key, text, hashlib.sha256).hexdigest()


def _forged(peer: str, detail: str) -> base.Refusal:
    return base.Refusal(base.Reason.FORGED, STEP, peer, detail)
