"""Stand-in for a model engine with continuous batching."""

import threading

import msgspec

from standins.faults import FaultKind
from standins.process import run_until_stopped
from standins.run import Run, UpstreamConfig
from standins.server import Exchange
from standins.stream import (
    RetainedStream,
    StreamClient,
    TokenEvent,
    Usage,
    UsageEvent,
    encode_event,
)
from standins.upstream import Upstream, read_config


class EngineResponse(msgspec.Struct, frozen=True):
    """Response of an engine to a request without streaming."""

    echo: str
    kind: str
    tokens: int
    text: str


def _event_text(run: Run, index: int) -> str:
    return f"{run.work.echo}:{index} "


class Engine(Upstream):
    """Engine that streams its responses and supports cancelling and resuming them.

    Parameters
    ----------
    cfg : UpstreamConfig, optional
        Settings; the defaults if omitted.
    """

    def __init__(self, cfg: UpstreamConfig | None = None) -> None:
        super().__init__(cfg)
        self._streams: dict[str, RetainedStream] = {}
        self._streams_lock = threading.Lock()

    def serve(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        """Generate the response, as a stream if the request asks for one."""
        if run.work.stream:
            self._send_stream(exchange, run, fault)
        else:
            self._send_whole_response(exchange, run, fault)

    def resume(self, exchange: Exchange, request_id: str) -> None:
        """Send the events of a retained stream from the requested index on."""
        with self._streams_lock:
            stream = self._streams.get(request_id)
        if stream is None:
            super().resume(exchange, request_id)
            return
        stream.adjust_client_count(1)
        client = StreamClient(exchange, stream, request_id, silent=False)
        index = int(exchange.query.get("from", 0))
        while (event := stream.wait_for_event(index)) is not None:
            client.send(event)
            index += 1
        client.finish(send_twice=False)

    def _send_whole_response(
        self, exchange: Exchange, run: Run, fault: FaultKind
    ) -> None:
        with self.occupied_slot(run):
            for _ in self.generate(run):
                if exchange.client_disconnected():
                    run.cancelled.set()
        if not run.is_complete():
            exchange.abort()
            return
        answered = self.answered_run(run, fault)
        execution = answered.execution
        response = EngineResponse(
            execution.echo, execution.kind, execution.tokens, _event_text(answered, 0)
        )
        self.send_json(exchange, run, fault, response)

    def _send_stream(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        stream = RetainedStream()
        self._retain(run.request_id, stream)
        with self.occupied_slot(run):
            request_id = self.response_id(run, fault)
            hangs = fault is FaultKind.HANG
            client = StreamClient(exchange, stream, request_id, silent=hangs)
            self._generate(run, stream, client, fault)
            stream.close(run.is_complete())
        if hangs:
            self.faults.wait_while_hung()
            exchange.abort()
            return
        client.finish(send_twice=fault is FaultKind.TWICE)

    def _generate(
        self, run: Run, stream: RetainedStream, client: StreamClient, fault: FaultKind
    ) -> None:
        index = 0
        for tokens in self.generate(run):
            text = _event_text(self.answered_run(run, fault), index)
            event = encode_event(TokenEvent(index, tokens, text), index)
            stream.append(event)
            client.send(event)
            index += 1
            if run.execution.tokens * 2 >= run.work.max_tokens:
                _inject_fault(client, fault)
            if stream.is_idle(self.cfg.keep_seconds):
                run.cancelled.set()
        if run.is_complete():
            usage = UsageEvent(Usage(run.execution.tokens))
            event = encode_event(usage, index)
            stream.append(event)
            client.send(event)

    def _retain(self, request_id: str, stream: RetainedStream) -> None:
        with self._streams_lock:
            expired = [
                expired_id
                for expired_id, retained in self._streams.items()
                if retained.is_idle(self.cfg.keep_seconds)
            ]
            for expired_id in expired:
                del self._streams[expired_id]
            self._streams[request_id] = stream


def _inject_fault(client: StreamClient, fault: FaultKind) -> None:
    if fault is FaultKind.CUT:
        client.reset()
    if fault is FaultKind.SHORT:
        client.truncate()


def main() -> int:
    """Run the stand-in until a signal stops it."""
    run_until_stopped(Engine(read_config("standins.engine", __doc__)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
