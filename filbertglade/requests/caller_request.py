"""A caller's request after it was read and checked."""

import dataclasses
import hashlib

from filbertglade.configuration import model as configuration_model
from filbertglade.requests import endpoint_pool
from filbertglade.requests import outcomes
from filbertglade.requests import strike_tracker


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request as a caller sent it.

    :param customer: who calls.
    :param target: the deployment's or service's name.
    :param is_service: whether the target is a plain service.
    :param call: what the endpoint is to be sent.
    :param is_stream: whether the caller wants events as they come.
    :param is_repeatable: whether it may run more than once.
    :param key: the idempotency key, or empty.
    :param is_first_send: whether the caller vouches that it never sent it
        before.
    :param deadline_ms: local clock by which the answer must begin.
    :param claim_kept_ms: how long its claim is kept.
    :param expected_tokens: what it is expected to cost.
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
        """Whether it may run only under a claim."""
        return bool(self.key) and not self.is_repeatable

    @property
    def unseen_outcome(self) -> outcomes.Outcome:
        """What to say if it is refused before its claim could be looked up.

        An earlier sending with its key may have run elsewhere.
        """
        if self.is_first_send or not self.needs_claim:
            return outcomes.Outcome.NOT_RUN
        return outcomes.Outcome.UNKNOWN

    def digest_body(self) -> bytes:
        """Return the digest that tells a resend from another request."""
        digest = hashlib.sha256()
        digest.update(f'{self.call.method} {self.call.path}\n'.encode())
        digest.update(self.call.body)
        return digest.digest()

    def digest_for_strikes(self) -> bytes:
        """Return the digest under which it is struck."""
        return strike_tracker.digest_request(
            self.customer.name, self.key, self.call.path, self.call.body
        )
