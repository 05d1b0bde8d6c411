"""A caller's request after parsing and validation."""

import dataclasses
import hashlib

from filbertglade.configuration import model as configuration_model
from filbertglade.requests import endpoint_pool
from filbertglade.requests import outcomes
from filbertglade.requests import strikes


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A validated request of a caller.

    :param customer: the customer that sent it.
    :param target: the name of the deployment or service.
    :param is_service: whether the target is a plain service.
    :param call: the HTTP request to send to the endpoint.
    :param is_stream: whether the caller wants the response as an event
        stream.
    :param is_repeatable: whether it is idempotent, so that it may run more
        than once.
    :param key: the idempotency key, or empty.
    :param is_first_send: whether the caller states that it never sent this
        request before.
    :param deadline_ms: local clock by which the response must begin.
    :param claim_kept_ms: how long its claim is kept, in milliseconds.
    :param expected_tokens: its expected cost in tokens.
    :param prefix_hashes: hashes of the prompt's prefixes, shortest first.
    """

    customer: configuration_model.Customer
    target: str
    is_service: bool
    call: endpoint_pool.Call
    is_stream: bool
    is_repeatable: bool
    key: str
    is_first_send: bool
    deadline_ms: int
    claim_kept_ms: int
    expected_tokens: int = 1
    prefix_hashes: list[int] = dataclasses.field(default_factory=list)

    @property
    def needs_claim(self) -> bool:
        """Whether it may run only while this node holds its claim."""
        return bool(self.key) and not self.is_repeatable

    @property
    def unclaimed_outcome(self) -> outcomes.Outcome:
        """The outcome if it is refused before its claim was looked up.

        An earlier request with the same key may have run on another node.
        """
        if self.is_first_send or not self.needs_claim:
            return outcomes.Outcome.NOT_RUN
        return outcomes.Outcome.UNKNOWN

    def digest_body(self) -> bytes:
        """Return the digest that distinguishes a retry from a new request."""
        digest = hashlib.sha256()
        digest.update(f'{self.call.method} {self.call.path}\n'.encode())
        digest.update(self.call.body)
        return digest.digest()

    def digest_for_strikes(self) -> bytes:
        """Return the digest under which its strikes are recorded."""
        return strikes.digest_request(
            self.customer.name, self.key, self.call.path, self.call.body
        )
