"""The headers and paths of the users' platform.

Bodies and settings arrive under the product's own names: the deploy files
``deploy/wire.toml`` and ``deploy/node.toml.template`` map them. Headers and
the paths of calls to endpoints can't be mapped there.
"""

from filbertglade.fleet import dialects

PLATFORM = dialects.Dialect(
    request_id='X-Request-Id',
    # The platform's time budget is the time left until the deadline.
    deadline='X-Time-Budget-Ms',
    key='X-Key',
    customer='X-Tenant',
    target='X-Target-Instance',
    not_run='X-Not-Executed',
    signature='X-Server-Signature',
    load='X-Instance-Load',
    limit='Server-Limit',
    leaving='Server-Leaving',
    faulty_endpoint='At-Server',
    model='X-Model',
    token_counts='X-Token-Counts',
    prompt_parts='X-Prompt-Prefix',
    answer_hint='X-Length-Hint',
    cold='X-Cold-Ms',
    engine_priority='X-Request-Priority',
    resume_after='Last-Event-Id',
    order_path='/order',
    report_path='/report',
)
