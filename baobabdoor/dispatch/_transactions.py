"""Transactions of a term, and which of them were applied without an answer."""

from collections.abc import Iterable
import json

import attrs

from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _election

SEQUENCE_TABLE = "commits"
SEQUENCE_KEY = "last"
LOG = observability.get_logger("sequence")


@attrs.define
class Document:
    """A row that is rewritten completely when its content changes.

    Attributes:
        table: Table of the row.
        key: Key of the row.
        content: Content last confirmed by the store.
        version: Version of the row.
    """

    table: str
    key: str
    content: bytes = b""
    version: int = 0

    def load(self, row: platform.StoredRow) -> None:
        """Adopts the content and version of the stored row."""
        self.content = row.value
        self.version = row.version


@attrs.frozen(eq=False)
class Transaction:
    """Changes that are written together.

    Attributes:
        mark: Content that no other transaction writes to the same row. It
            names the term and the number of the transaction in it.
        sent_s: Time at which it was first sent.
        heartbeat: Whether it contains a heartbeat.
        sequenced: Whether it rewrites the row of the sequence. A heartbeat
            alone changes nothing that a later transaction could contradict.
        documents: Documents with their new content.
        snapshot: Jobs; `None` for none.
    """

    mark: str
    sent_s: float
    heartbeat: bool
    sequenced: bool
    documents: list[tuple[Document, bytes]]
    snapshot: scheduling.Snapshot | None

    @property
    def jobs(self) -> list[tuple[scheduling.Job, bytes]]:
        """Jobs with their encoded rows."""
        return self.snapshot.jobs if self.snapshot is not None else []

    def without_rows(self) -> "Transaction":
        """Returns it without the rows of jobs, which may be large.

        What a result of the transaction changes does not depend on them.
        """
        if self.snapshot is None:
            return self
        jobs = [(job, b"") for job, _ in self.snapshot.jobs]
        return attrs.evolve(
            self, snapshot=attrs.evolve(self.snapshot, jobs=jobs)
        )


class WriteSequence:
    """Puts the transactions of a term in an order that the store enforces.

    Each transaction rewrites one row, on the condition of its last known
    version. So at most one of the transactions that were sent under the same
    version is applied, and the row names it. A transaction that the row does
    not name after its version has changed can never be applied.

    Args:
        token: Fencing token of the term.

    Attributes:
        version: Last known version of the row.
        unresolved: Transactions under this version whose result is unknown.
    """

    def __init__(self, token: int):
        self.token = token
        self.version = 0
        self.unresolved: list[Transaction] = []
        self.last_number = 0

    def load(self, rows: Iterable[platform.StoredRow]) -> None:
        """Adopts the row that the transactions of earlier terms rewrote."""
        for row in rows:
            if row.key == SEQUENCE_KEY:
                self.version = row.version

    def next_mark(self) -> str:
        """Returns the mark of a new transaction."""
        self.last_number += 1
        content = {"token": self.token, "number": self.last_number}
        return json.dumps(content)

    def condition(self) -> platform.StoredRow:
        """Returns the row with the version that a transaction requires."""
        return platform.StoredRow(
            SEQUENCE_TABLE, _election.PART, SEQUENCE_KEY, version=self.version
        )

    def observe_commit(self, transaction: Transaction, version: int) -> None:
        """Records that a transaction was applied; all others never will be."""
        if transaction.sequenced:
            self.version = version
            self.unresolved.clear()

    def observe_no_answer(self, transaction: Transaction) -> None:
        """Records that a transaction may still be applied."""
        if transaction.sequenced:
            self.unresolved.append(transaction.without_rows())

    def observe_row(
        self, row: platform.StoredRow, pending: Transaction | None = None
    ) -> Transaction | None:
        """Applies the current row of the sequence.

        Args:
            row: The row as read from the store; version 0 if there is none.
            pending: Transaction that awaits its answer, if any.

        Returns:
            The unresolved or pending transaction that wrote the row; `None` if
            none did.
        """
        if row.version == self.version:
            return None
        sent = [*self.unresolved, *([pending] if pending else [])]
        self.version = row.version
        self.unresolved.clear()
        for transaction in sent:
            if transaction.mark.encode() == row.value:
                return transaction
        LOG.warning("sequence_taken", version=row.version, sent=len(sent))
        return None
