"""The properties of a request that admission control uses."""

import dataclasses

from filbertglade.configuration import model as configuration_model


@dataclasses.dataclass(slots=True)
class AdmissionRequest:
    """A request for a permit to run on a target.

    :param customer: the calling customer, with its weight and limits.
    :param target: the deployment's or service's name.
    :param is_service: whether the target is a plain service.
    :param deadline_ms: local clock time by which the response must begin.
    :param expected_tokens: tokens that the request is expected to cost; the
        fair queue charges them to the customer.
    """

    customer: configuration_model.Customer
    target: str
    is_service: bool
    deadline_ms: int
    expected_tokens: int = 1
