"""The administration API."""

import typing

from tornado import web

from filbertglade.administration import reader
from filbertglade.configuration import validation
from filbertglade.control import failures
from filbertglade.control import submitter
from filbertglade.inner import administration_pb2
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.membership import view
from filbertglade.settings import model

SUBMIT_TIMEOUT_MS = 5000
RETRY_AFTER_S = '1'

Verdict = commands_pb2.ConfigurationResult

STATUS_BY_VERDICT = {
    Verdict.ACCEPTED: 200,
    Verdict.NUMBER_TAKEN: 409,
    Verdict.CHANGE_ID_REUSED: 409,
    Verdict.NUMBER_OUT_OF_ORDER: 409,
}


class OperatorHandler(web.RequestHandler):
    """What all handlers towards operators have in common."""

    def initialize(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        commands: submitter.Submitter,
        channel_factory: channels.ChannelFactory,
    ) -> None:
        """Take the node's parts.

        :param settings: the node's settings.
        :param fleet: the node's view.
        :param commands: what changes the agreed state.
        :param channel_factory: opens channels to control hosts.
        """
        self._settings = settings
        self._fleet = fleet
        self._commands = commands
        self._channels = channel_factory

    def set_default_headers(self) -> None:
        """Name no server software."""
        self.clear_header('Server')

    def write_error(self, status_code: int, **_: object) -> None:
        """Answer an error that no handler foresaw, without a traceback.

        :param status_code: the HTTP status.
        """
        self.finish({'error': {'message': self._reason, 'type': 'http-error'}})

    def give_error(self, status: int, kind: str, message: object) -> None:
        """Answer with an error.

        :param status: the HTTP status.
        :param kind: its kind, for programs.
        :param message: for people.
        """
        self.set_status(status)
        self.finish({'error': {'type': kind, 'message': message}})

    async def give_subject(self, subject: administration_pb2.Subject) -> None:
        """Answer with what the leader knows.

        :param subject: what is asked.
        """
        for host in self._settings.control.hosts:
            reply = await reader.ask(
                self._channels,
                host.address,
                subject,
                self._settings.timings.connect_timeout_ms,
            )
            if reply.text:
                self.set_header('Content-Type', 'application/json')
                self.finish(reply.text)
                return
        self.set_header('Retry-After', RETRY_AFTER_S)
        self.give_error(503, 'no-leader', 'no control host knows a leader')


class ConfigurationHandler(OperatorHandler):
    """The document."""

    async def get(self) -> None:
        """Answer with the document in force on this node."""
        if self._fleet.document is None:
            self.give_error(404, 'no-document', 'no document is in force yet')
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(self._fleet.document_text)

    async def put(self) -> None:
        """Commit a document."""
        document, problems = validation.parse_document(self.request.body)
        if document is None:
            self.give_error(
                400,
                'invalid-document',
                [
                    {'key': problem.key, 'message': problem.message}
                    for problem in problems
                ],
            )
            return
        text = validation.canonical_text(self.request.body)
        change = commands_pb2.PutConfiguration(
            number=document.number,
            change_id=document.change_id,
            document=text,
            digest=validation.digest(text),
        )
        command = commands_pb2.Command(put_configuration=change)
        result = await self._commands.submit(command, SUBMIT_TIMEOUT_MS)
        if isinstance(result, failures.SubmitFailure):
            self._give_failure(result)
            return
        self._give_verdict(result.configuration)

    def _give_failure(self, failure: failures.SubmitFailure) -> None:
        self.set_header('Retry-After', RETRY_AFTER_S)
        if failure.may_have_applied:
            self.give_error(
                504,
                'outcome-unknown',
                'the change may have been accepted; send it again with the '
                'same change_id',
            )
        else:
            self.give_error(503, str(failure.reason.value), failure.detail)

    def _give_verdict(self, result: commands_pb2.ConfigurationResult) -> None:
        name = Verdict.Verdict.Name(result.verdict).lower().replace('_', '-')
        self.set_status(STATUS_BY_VERDICT[result.verdict])
        self.finish(
            {
                'verdict': name,
                'number': result.number,
                'change_id': result.change_id,
                'digest': result.digest,
            }
        )


class ConfigurationStatusHandler(OperatorHandler):
    """Where the document is in force."""

    async def get(self) -> None:
        """Answer with the number in force on each node."""
        await self.give_subject(administration_pb2.CONFIGURATION_STATUS)


class ConfigurationHistoryHandler(OperatorHandler):
    """The accepted changes."""

    async def get(self) -> None:
        """Answer with the accepted changes."""
        await self.give_subject(administration_pb2.CONFIGURATION_HISTORY)


class ClusterHandler(OperatorHandler):
    """Nodes, groups and hosts."""

    async def get(self) -> None:
        """Answer with the cluster's state as the leader sees it."""
        await self.give_subject(administration_pb2.CLUSTER)


def build_application(
    settings: model.NodeSettings,
    fleet: view.FleetView,
    commands: submitter.Submitter,
    channel_factory: channels.ChannelFactory,
) -> web.Application:
    """Build the application.

    :param settings: the node's settings.
    :param fleet: the node's view.
    :param commands: what changes the agreed state.
    :param channel_factory: opens channels to control hosts.
    :returns: the application.
    """
    parts: dict[str, typing.Any] = {
        'settings': settings,
        'fleet': fleet,
        'commands': commands,
        'channel_factory': channel_factory,
    }
    return web.Application(
        [
            (r'/v1/config', ConfigurationHandler, parts),
            (r'/v1/config/status', ConfigurationStatusHandler, parts),
            (r'/v1/config/history', ConfigurationHistoryHandler, parts),
            (r'/v1/status', ClusterHandler, parts),
        ],
        log_function=lambda handler: None,
    )
