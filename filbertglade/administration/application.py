"""HTTP application of the administration API."""

import asyncio
import hashlib
import hmac
import json
import typing

from tornado import web

from filbertglade.administration import control_client
from filbertglade import clock
from filbertglade.configuration import model as document_model
from filbertglade.configuration import validation
from filbertglade.control import failures
from filbertglade.control import submitter
from filbertglade.fleet import evacuation_log
from filbertglade.inner import administration_pb2
from filbertglade.inner import channels
from filbertglade.inner import commands_pb2
from filbertglade.membership import view
from filbertglade.observability import logs
from filbertglade import schema
from filbertglade.settings import model

log = logs.get_log(__name__)

COMMIT_LIMIT_MS = 10_000  # longest wait for a commit, over all attempts
COMMIT_ATTEMPT_MS = 1_000
RETRY_PAUSE_MS = 100
RETRY_AFTER_S = '1'
BEARER = 'Bearer '

Verdict = commands_pb2.ConfigurationResult

MESSAGES = {
    Verdict.NUMBER_TAKEN: 'another change took this number first',
    Verdict.CHANGE_ID_REUSED: (
        'this change_id was accepted before with another document'
    ),
    Verdict.NUMBER_OUT_OF_ORDER: 'the number must be the current one plus 1',
}


class OperatorHandler(web.RequestHandler):
    """Base class of the API's handlers; checks the operators' key."""

    def initialize(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        commands: submitter.Submitter,
        channel_factory: channels.ChannelFactory,
    ) -> None:
        """Set the components that the handler uses.

        :param settings: the node's settings.
        :param fleet: the node's view of the fleet.
        :param commands: submits changes of the agreed state.
        :param channel_factory: opens channels to control hosts.
        """
        self._settings = settings
        self._fleet = fleet
        self._commands = commands
        self._channels = channel_factory

    def prepare(self) -> None:
        """Refuse requests without the operators' key, if one is set."""
        expected = self._settings.administration.key_sha256
        if not expected:
            return
        given = self.request.headers.get('Authorization', '')
        secret = given.removeprefix(BEARER).strip()
        hashed = hashlib.sha256(secret.encode()).hexdigest()
        if given.startswith(BEARER) and hmac.compare_digest(hashed, expected):
            return
        self.set_header('WWW-Authenticate', 'Bearer')
        self.send_error_body(
            401, 'unauthenticated', "the operators' Bearer key is required"
        )

    def set_default_headers(self) -> None:
        """Remove the header that names the server software."""
        self.clear_header('Server')

    def write_error(self, status_code: int, **_: object) -> None:
        """Respond to an unexpected error, without a traceback.

        :param status_code: the HTTP status.
        """
        self.send_error_body(status_code, 'http-error', self._reason)

    def send_error_body(self, status: int, kind: str, message: str) -> None:
        """Respond with an error.

        :param status: the HTTP status.
        :param kind: the error's type, for programs.
        :param message: the error's description, for people.
        """
        self.set_status(status)
        self.finish({'error': {'type': kind, 'message': message}})

    async def send_report(self, subject: administration_pb2.Subject) -> None:
        """Respond with a report by the leader.

        :param subject: which report.
        """
        text = await self.read_report(subject)
        if text:
            self.set_header('Content-Type', 'application/json')
            self.finish(text)

    async def read_report(self, subject: administration_pb2.Subject) -> bytes:
        """Return a report by the leader, or respond that there is none.

        :param subject: which report.
        :returns: its JSON text; empty if the response was sent.
        """
        for host in self._settings.control.hosts:
            reply = await control_client.read_subject(
                self._channels,
                host.address,
                subject,
                self._settings.timings.connect_timeout_ms,
            )
            if reply.text:
                return reply.text
        self.set_header('Retry-After', RETRY_AFTER_S)
        self.send_error_body(
            503, 'no-leader', 'no control host knows a leader'
        )
        return b''


class UnknownHandler(OperatorHandler):
    """Handles paths that the API does not have."""

    def prepare(self) -> None:
        """Respond that there is no such path."""
        self.send_error_body(404, 'no-such-path', 'the API has no such path')


class CommandHandler(OperatorHandler):
    """Base class of handlers that change the agreed state."""

    async def commit(
        self, command: commands_pb2.Command
    ) -> commands_pb2.CommandResult | failures.SubmitFailure:
        """Commit a command; retry failed attempts until the time limit.

        Retries are safe: a document is applied once per ``change_id``, and an
        evacuation that is in force is not started again.

        :param command: the command.
        """
        deadline_ms = clock.now_ms() + COMMIT_LIMIT_MS
        may_have_applied = False
        while True:
            left_ms = deadline_ms - clock.now_ms()
            result = await self._commands.submit(
                command, max(1, min(left_ms, COMMIT_ATTEMPT_MS))
            )
            if not isinstance(result, failures.SubmitFailure):
                return result
            may_have_applied |= result.may_have_applied
            if deadline_ms - clock.now_ms() <= RETRY_PAUSE_MS:
                break
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        reason = failures.SubmitReason(result.reason.value)
        return failures.SubmitFailure(reason, result.detail, may_have_applied)

    def send_failure(self, failure: failures.SubmitFailure) -> None:
        """Respond that a command has no result.

        :param failure: why.
        """
        self.set_header('Retry-After', RETRY_AFTER_S)
        if failure.may_have_applied:
            self.send_error_body(
                504,
                'outcome-unknown',
                'the change may have been accepted; send the same again',
            )
        else:
            kind = str(failure.reason.value)
            self.send_error_body(503, kind, failure.detail or kind)


class ConfigurationHandler(CommandHandler):
    """Handles the configuration document."""

    async def get(self) -> None:
        """Respond with the document in force on this node."""
        if self._fleet.document is None:
            self.send_error_body(
                404, 'no-document', 'no document is in force yet'
            )
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(self._fleet.document_text)

    async def put(self) -> None:
        """Submit a document; respond once it is committed."""
        body = self.request.body
        if len(body) > validation.MAX_DOCUMENT_BYTES:
            self.send_error_body(
                413,
                'document-too-large',
                f'at most {validation.MAX_DOCUMENT_BYTES} bytes are allowed',
            )
            return
        document, problems = validation.parse_document(body)
        if document is None:
            self._send_problems(problems)
            return
        command = commands_pb2.Command(
            put_configuration=_build_change(document, body)
        )
        result = await self.commit(command)
        if isinstance(result, failures.SubmitFailure):
            self.send_failure(result)
            return
        self._send_verdict(result.configuration)

    def _send_problems(self, problems: list[schema.Problem]) -> None:
        self.set_status(400)
        self.finish(
            {
                'error': {
                    'type': 'invalid-document',
                    'message': f'{len(problems)} problems; none of it is used',
                    'problems': [
                        {'key': problem.key, 'message': problem.message}
                        for problem in problems
                    ],
                }
            }
        )

    def _send_verdict(self, result: commands_pb2.ConfigurationResult) -> None:
        name = Verdict.Verdict.Name(result.verdict).lower().replace('_', '-')
        body: dict[str, object] = {
            'verdict': name,
            'number': result.number,
            'change_id': result.change_id,
            'digest': result.digest,
        }
        if result.verdict == Verdict.ACCEPTED:
            log.change(
                'configuration.accepted',
                number=result.number,
                change_id=result.change_id,
            )
        else:
            message = MESSAGES[result.verdict]
            body['error'] = {'type': name, 'message': message}
            self.set_status(409)
        self.finish(body)


def _build_change(
    document: document_model.Document, body: bytes
) -> commands_pb2.PutConfiguration:
    text = validation.canonical_text(body)
    return commands_pb2.PutConfiguration(
        number=document.number,
        change_id=document.change_id,
        document=text,
        digest=validation.digest(text),
    )


class ConfigurationStatusHandler(OperatorHandler):
    """Reports which document is in force on each node."""

    async def get(self) -> None:
        """Respond with the number in force on each node."""
        await self.send_report(administration_pb2.CONFIGURATION_STATUS)


class ConfigurationHistoryHandler(OperatorHandler):
    """Lists the accepted changes of the document."""

    async def get(self) -> None:
        """Respond with the accepted changes."""
        await self.send_report(administration_pb2.CONFIGURATION_HISTORY)


class EvacuationListHandler(OperatorHandler):
    """Lists the evacuations in force."""

    async def get(self) -> None:
        """Respond with the evacuations in force."""
        text = await self.read_report(administration_pb2.CLUSTER)
        if text:
            evacuations = json.loads(text)['evacuations']
            self.finish({'evacuations': evacuations})


class EvacuationHandler(CommandHandler):
    """Starts and ends evacuations."""

    async def post(self, name: str, order: str) -> None:
        """Submit an order; respond once it is committed.

        :param name: name of the data centre.
        :param order: whether its evacuation starts or ends.
        """
        if not evacuation_log.is_valid_name(name):
            self.send_error_body(400, 'bad-name', evacuation_log.NAME_RULE)
            return
        command = commands_pb2.Command()
        command.evacuation_change.data_centre = name
        command.evacuation_change.active = order == 'start'
        result = await self.commit(command)
        if isinstance(result, failures.SubmitFailure):
            self.send_failure(result)
            return
        if not result.evacuation.done:
            self.set_header('Retry-After', RETRY_AFTER_S)
            self.send_error_body(503, 'too-many', result.evacuation.detail)
            return
        log.change('evacuation.recorded', data_centre=name, order=order)
        self.finish({'data_centre': name, 'evacuated': order == 'start'})


class ClusterHandler(OperatorHandler):
    """Reports on nodes, groups, hosts and customers."""

    async def get(self) -> None:
        """Respond with the cluster's state as the leader sees it."""
        await self.send_report(administration_pb2.CLUSTER)


def build_application(
    settings: model.NodeSettings,
    fleet: view.FleetView,
    commands: submitter.Submitter,
    channel_factory: channels.ChannelFactory,
) -> web.Application:
    """Build the application.

    :param settings: the node's settings.
    :param fleet: the node's view of the fleet.
    :param commands: submits changes of the agreed state.
    :param channel_factory: opens channels to control hosts.
    :returns: the application.
    """
    arguments: dict[str, typing.Any] = {
        'settings': settings,
        'fleet': fleet,
        'commands': commands,
        'channel_factory': channel_factory,
    }
    return web.Application(
        [
            (r'/v1/config', ConfigurationHandler, arguments),
            (r'/v1/config/status', ConfigurationStatusHandler, arguments),
            (r'/v1/config/history', ConfigurationHistoryHandler, arguments),
            (r'/v1/status', ClusterHandler, arguments),
            (r'/v1/evacuations', EvacuationListHandler, arguments),
            (
                r'/v1/evacuations/([^/]*)/(start|end)',
                EvacuationHandler,
                arguments,
            ),
        ],
        default_handler_class=UnknownHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )
