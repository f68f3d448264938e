"""Stand-in for a continuously batching model engine."""

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
    """Whole answer of an engine."""

    echo: str
    kind: str
    tokens: int
    text: str


def _text(run: Run, index: int) -> str:
    return f"{run.work.echo}:{index} "


class Engine(Upstream):
    """Engine that streams, cancels and resumes.

    Parameters
    ----------
    cfg : UpstreamConfig, optional
        Settings.
    """

    def __init__(self, cfg: UpstreamConfig | None = None) -> None:
        super().__init__(cfg)
        self._streams: dict[str, RetainedStream] = {}
        self._streams_lock = threading.Lock()

    def serve(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        """Generate the answer, streamed where the work says so."""
        if run.work.stream:
            self._serve_stream(exchange, run, fault)
        else:
            self._serve_whole(exchange, run, fault)

    def resume(self, exchange: Exchange, request_id: str) -> None:
        """Send the events of a kept stream from an index on."""
        with self._streams_lock:
            stream = self._streams.get(request_id)
        if stream is None:
            super().resume(exchange, request_id)
            return
        stream.adjust_readers(1)
        client = StreamClient(exchange, stream, request_id, silent=False)
        index = int(exchange.query.get("from", 0))
        while (event := stream.wait_for_event(index)) is not None:
            client.send(event)
            index += 1
        client.finish(send_twice=False)

    def _serve_whole(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        with self.occupied_slot(run):
            for _ in self.generate(run):
                if exchange.client_disconnected():
                    run.cancelled.set()
        if not run.is_complete():
            exchange.abort()
            return
        of = self.answered_run(run, fault)
        done = of.execution
        answer = EngineResponse(done.echo, done.kind, done.tokens, _text(of, 0))
        self.send_json(exchange, run, fault, answer)

    def _serve_stream(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        stream = RetainedStream()
        self._keep(run.request_id, stream)
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
            text = _text(self.answered_run(run, fault), index)
            event = encode_event(TokenEvent(index, tokens, text), index)
            stream.append(event)
            client.send(event)
            index += 1
            if run.execution.tokens * 2 >= run.work.max_tokens:
                _spoil(client, fault)
            if stream.is_idle(self.cfg.keep_seconds):
                run.cancelled.set()
        if run.is_complete():
            usage = UsageEvent(Usage(run.execution.tokens))
            event = encode_event(usage, index)
            stream.append(event)
            client.send(event)

    def _keep(self, key: str, stream: RetainedStream) -> None:
        with self._streams_lock:
            over = [
                old
                for old, kept in self._streams.items()
                if kept.is_idle(self.cfg.keep_seconds)
            ]
            for old in over:
                del self._streams[old]
            self._streams[key] = stream


def _spoil(client: StreamClient, fault: FaultKind) -> None:
    if fault is FaultKind.CUT:
        client.reset()
    if fault is FaultKind.SHORT:
        client.truncate()


def main() -> int:
    """Run the stand-in until it is told to stop."""
    run_until_stopped(Engine(read_config("standins.engine", __doc__)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
