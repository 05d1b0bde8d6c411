"""Routing documents for tests."""

import copy

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


def write(data):
    """Return a document's JSON text."""
    return orjson.dumps(data)
