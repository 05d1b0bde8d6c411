"""Validation of the configuration document."""

import hashlib
import json

from filbertglade.configuration import model
from filbertglade.configuration import strict_json
from filbertglade import schema

MAX_DOCUMENT_BYTES = 1_048_576


def parse_document(
    text: bytes,
) -> tuple[model.Document | None, list[schema.Problem]]:
    """Parse a document and run all checks.

    :param text: the JSON text.
    :returns: the document, or None, and every problem found.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        message = (
            f'{len(text)} bytes; at most {MAX_DOCUMENT_BYTES} are allowed'
        )
        return None, [schema.Problem(schema.ROOT_KEY, message)]
    data, problems = strict_json.parse_json(text)
    if data is None and problems:
        return None, problems
    document, schema_problems = schema.decode_with_placeholders(
        model.Document, data
    )
    problems += schema_problems
    if document is not None:
        problems = schema.merge_problems(problems, check_document(document))
    return (None if problems else document), problems


def check_document(document: model.Document) -> list[schema.Problem]:
    """Run the checks that involve several keys.

    :param document: a document that conforms to the schema.
    :returns: every problem found.
    """
    find = schema.find_duplicates
    keys = [item.key_sha256 for item in document.customers]
    problems = find(_names(document.customers), 'customers', 'name')
    problems += find(keys, 'customers', 'key_sha256')
    problems += find(_names(document.fabric_domains), 'fabric_domains', 'name')
    problems += find(_names(document.deployments), 'deployments', 'name')
    problems += find(_names(document.services), 'services', 'name')
    customers = set(_names(document.customers))
    domains = set(_names(document.fabric_domains))
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
        path = f'services[{position}].customers'
        problems += _check_names(
            service.customers, customers, path, 'customer'
        )
    return problems


def _names(
    items: list[model.Customer]
    | list[model.FabricDomain]
    | list[model.Deployment]
    | list[model.Service],
) -> list[str]:
    return [item.name for item in items]


def _check_names(
    names: list[str], known: set[str], path: str, what: str
) -> list[schema.Problem]:
    unknown = [
        schema.Problem(f'{path}[{position}]', f'unknown {what} {name!r}')
        for position, name in enumerate(names)
        if name not in known
    ]
    return unknown + schema.find_duplicates(names, path, '')


def find_warnings(document: model.Document) -> list[schema.Problem]:
    """Find values that are valid but probably a mistake.

    :param document: a document that passed every check.
    :returns: a warning for each.
    """
    warnings = []
    used: set[str] = set()
    for position, deployment in enumerate(document.deployments):
        path = f'deployments[{position}]'
        used.update(deployment.customers)
        if not deployment.customers:
            warnings.append(_warn_no_customers(f'{path}.customers'))
        if not deployment.fabric_domains:
            message = 'empty: no group can be formed'
            warnings.append(schema.Problem(f'{path}.fabric_domains', message))
    for position, service in enumerate(document.services):
        used.update(service.customers)
        if not service.customers:
            warnings.append(
                _warn_no_customers(f'services[{position}].customers')
            )
    for position, customer in enumerate(document.customers):
        if customer.name not in used:
            path = f'customers[{position}].name'
            message = f'{customer.name!r} may call nothing'
            warnings.append(schema.Problem(path, message))
    return warnings


def _warn_no_customers(path: str) -> schema.Problem:
    return schema.Problem(path, 'empty: nobody may call it')


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
