"""Settings of a control host for tests without processes."""

from filbertglade.settings import gateway


def build_settings():
    """Return the settings of the only control host of a deployment."""
    return gateway.GatewaySettings(
        'one',
        'central',
        'north',
        gateway.GatewayListenSettings('127.0.0.1:1', '127.0.0.1:2'),
        gateway.GatewayControlSettings(['127.0.0.1:3']),
    )
