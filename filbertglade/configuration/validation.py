"""Validation of the operators' document."""

import hashlib
import json

from filbertglade.configuration import model
from filbertglade import schema


def parse_document(
    text: bytes,
) -> tuple[model.Document | None, list[schema.Problem]]:
    """Read a document and check it whole.

    :param text: the JSON text.
    :returns: the document, or None, and every problem found.
    """
    try:
        data = json.loads(text)
    except ValueError as error:
        return None, [schema.Problem('(document)', f'not valid JSON: {error}')]
    document, problems = schema.decode(model.Document, data)
    if document is None:
        return None, problems
    problems = check_document(document)
    return (None if problems else document), problems


def check_document(document: model.Document) -> list[schema.Problem]:
    """Check what spans several keys.

    :param document: a document of the right shape.
    :returns: every problem found.
    """
    customers = [item.name for item in document.customers]
    domains = [item.name for item in document.fabric_domains]
    deployments = [item.name for item in document.deployments]
    services = [item.name for item in document.services]
    find = schema.find_duplicates
    problems = find(customers, 'customers', 'name')
    problems += find(
        [item.key_sha256 for item in document.customers],
        'customers',
        'key_sha256',
    )
    problems += find(domains, 'fabric_domains', 'name')
    problems += find(deployments, 'deployments', 'name')
    problems += find(services, 'services', 'name')
    for position, deployment in enumerate(document.deployments):
        path = f'deployments[{position}]'
        problems += _check_names(
            deployment.customers, customers, f'{path}.customers', 'customer'
        )
        problems += _check_names(
            deployment.fabric_domains,
            domains,
            f'{path}.fabric_domains',
            'fabric domain',
        )
    for position, service in enumerate(document.services):
        problems += _check_names(
            service.customers,
            customers,
            f'services[{position}].customers',
            'customer',
        )
    return problems


def _check_names(
    names: list[str], known: list[str], path: str, what: str
) -> list[schema.Problem]:
    return [
        schema.Problem(f'{path}[{position}]', f'unknown {what} {name!r}')
        for position, name in enumerate(names)
        if name not in known
    ]


def canonical_text(text: bytes) -> bytes:
    """Return a document's canonical JSON text.

    :param text: JSON text that parses.
    :returns: the same data with sorted keys and no white space.
    """
    data = json.loads(text)
    return json.dumps(data, sort_keys=True, separators=(',', ':')).encode()


def digest(text: bytes) -> str:
    """Return a document's digest.

    :param text: the canonical text.
    :returns: its SHA-256, hexadecimal.
    """
    return hashlib.sha256(text).hexdigest()
