"""Routing documents for tests."""

import copy
import random

import orjson

PLAIN = {
    'version': 3,
    'routes': [
        {
            'name': 'read',
            'hostname': 'desk.example',
            'path_prefix': '/read/',
            'kind': 'safe',
            'timeout_ms': 2000,
            'objective_ms': 300,
            'service': 'api',
            'max_attempts': 2,
        },
        {
            'name': 'write',
            'hostname': 'desk.example',
            'path_prefix': '/write/',
            'kind': 'unsafe',
            'timeout_ms': 2000,
            'objective_ms': 300,
            'service': 'api',
        },
        {
            'name': 'tell',
            'hostname': 'desk.example',
            'path_prefix': '/tell/',
            'kind': 'streaming',
            'timeout_ms': 5000,
            'objective_ms': 300,
            'gap_objective_ms': 300,
            'weighted_services': [{'service': 'models', 'weight': 1}],
            'max_attempts': 2,
            'resumable': True,
        },
        {
            'name': 'open',
            'hostname': 'desk.example',
            'path_prefix': '/read/open/',
            'kind': 'safe',
            'timeout_ms': 2000,
            'service': 'api',
            'public': True,
        },
    ],
    'services': [
        {'name': 'api', 'health_path': '/health', 'max_connections': 16},
        {
            'name': 'models',
            'max_connections': 64,
            'engine': {
                'slots': 4,
                'models': [
                    {'name': 'big', 'size': 2, 'load_s': 1, 'warm_s': 0.1}
                ],
                'loads_per_s': 10,
                'loads_at_once': 6,
                'far_x': 2.5,
            },
        },
    ],
    'limits': {
        'max_header_bytes': 4096,
        'max_body_bytes': 65536,
        'header_timeout_ms': 1000,
        'idle_timeout_ms': 15000,
    },
    'customers': [
        {'name': 'garden', 'keys': ['key-1', 'key-2'], 'priority': 1}
    ],
}


def build(**changes):
    """Return a document's data with some keys replaced."""
    return {**copy.deepcopy(PLAIN), **changes}


def write_random(version, size_bytes):
    """Return the text of a document that hardly compresses.

    Nearly all of it is the random keys of one more customer.
    """
    rng = random.Random(version)
    alphabet = [chr(code) for code in range(33, 127) if chr(code) not in '"\\']
    keys = [
        ''.join(rng.choices(alphabet, k=497)) for _ in range(size_bytes // 500)
    ]
    customer = {'name': 'random', 'keys': keys}
    return write(
        build(version=version, customers=[*PLAIN['customers'], customer])
    )


def write_routes(version, size_bytes):
    """Return the text of a document that consists of ordinary routes."""
    route = {
        **PLAIN['routes'][0],
        'hostname': 'region-praha.listings.desk.example',
        'priority': 1,
        'resumable': False,
    }
    routes = list(PLAIN['routes'])
    route_bytes = len(write(_build_route(route, 0))) + 1
    for number in range(size_bytes // route_bytes):
        routes.append(_build_route(route, number))
    return write(build(version=version, routes=routes))


def _build_route(route, number):
    path = f'/catalogue/department-{number:05}/listings/seasonal-offers/'
    return {**route, 'name': f'read-{number:05}', 'path_prefix': path}


def write(data):
    """Return a document's JSON text."""
    return orjson.dumps(data)
