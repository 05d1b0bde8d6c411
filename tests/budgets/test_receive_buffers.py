"""Receive buffers, which bound a process's unread bytes."""

import contextlib
import socket

import pytest

from filbertglade.budgets import process
from filbertglade.budgets import receive_buffers
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests.platform import process_watch

MEMORY_MB = 300
DESCRIPTORS = 4100
LISTENERS = ['callers', 'health', 'endpoints', 'metrics']


def build_budgets():
    limits = gateway.LimitSettings(
        memory_mb=MEMORY_MB, max_descriptors=DESCRIPTORS
    )
    return process.Budgets(limits, metrics.Metrics(), LISTENERS)


def test_all_buffers_fit_into_their_part_of_the_memory():
    budgets = build_budgets()
    count = sum(
        budgets.find_limit(each) + budgets.find_backlog(each)
        for each in LISTENERS
    )
    unread_bytes = (
        count * budgets.receive_buffer_bytes * receive_buffers.SYSTEM_FACTOR
    )
    most_bytes = MEMORY_MB * 1_000_000 * receive_buffers.UNREAD_SHARE
    assert unread_bytes <= most_bytes


# Guards against answers that are slowed by the round trips, as the system's
# own limit of descriptors may be a million.
def test_buffers_without_a_limit_of_descriptors_are_not_the_smallest():
    budgets = process.Budgets(
        gateway.LimitSettings(), metrics.Metrics(), LISTENERS
    )
    assert budgets.receive_buffer_bytes >= 2 * receive_buffers.MIN_BYTES


# Guards against connections whose buffers the system lets grow, also of those
# that wait to be accepted.
@pytest.mark.parametrize('is_accepted', [True, False])
def test_unread_bytes_of_a_connection_are_bounded(is_accepted):
    size_bytes = build_budgets().receive_buffer_bytes
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        receive_buffers.set_size(listening, size_bytes)
        listening.bind(('127.0.0.1', 0))
        listening.listen()
        address = listening.getsockname()
        client = stack.enter_context(socket.create_connection(address))
        if is_accepted:
            stack.enter_context(listening.accept()[0])
        client.settimeout(0.2)
        with pytest.raises(TimeoutError):
            client.sendall(b'x' * 20_000_000)
        unread_bytes = process_watch.count_unread_bytes('self')
    assert 0 < unread_bytes <= receive_buffers.SYSTEM_FACTOR * size_bytes
