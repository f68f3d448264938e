"""Stand-in for a continuously batching model engine."""

import threading

import msgspec

from standins.faults import FaultKind
from standins.process import run_until_stopped
from standins.run import Run, UpstreamConfig
from standins.server import Exchange
from standins.stream import (
    KeptStream,
    StreamClient,
    TokenEvent,
    Usage,
    UsageEvent,
    encode_event,
)
from standins.upstream import Upstream, read_config


class EngineAnswer(msgspec.Struct, frozen=True):
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
        self._streams: dict[str, KeptStream] = {}
        self._streams_lock = threading.Lock()

    def serve(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        """Generate the answer, streamed where the work says so."""
        if run.work.stream:
            self._serve_stream(exchange, run, fault)
        else:
            self._serve_whole(exchange, run, fault)

    def resume(self, exchange: Exchange, key: str) -> None:
        """Send the events of a kept stream from an index on."""
        with self._streams_lock:
            stream = self._streams.get(key)
        if stream is None:
            super().resume(exchange, key)
            return
        stream.count_reader(1)
        client = StreamClient(exchange, stream, key, silent=False)
        index = int(exchange.query.get("from", 0))
        while (event := stream.wait_event(index)) is not None:
            client.send(event)
            index += 1
        client.finish(again=False)

    def _serve_whole(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        with self.slot(run):
            for _ in self.steps(run):
                if exchange.hung_up():
                    run.cancelled.set()
        if not run.is_whole():
            exchange.abort()
            return
        of = self.answered(run, fault)
        done = of.execution
        answer = EngineAnswer(done.echo, done.kind, done.tokens, _text(of, 0))
        self.send_json(exchange, run, fault, answer)

    def _serve_stream(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        stream = KeptStream()
        self._keep(run.key, stream)
        with self.slot(run):
            request_id = self.answer_id(run, fault)
            hangs = fault is FaultKind.HANG
            client = StreamClient(exchange, stream, request_id, silent=hangs)
            self._generate(run, stream, client, fault)
            stream.close(run.is_whole())
        if hangs:
            self.faults.wait_while_hung()
            exchange.abort()
            return
        client.finish(again=fault is FaultKind.TWICE)

    def _generate(
        self, run: Run, stream: KeptStream, client: StreamClient, fault: FaultKind
    ) -> None:
        index = 0
        for tokens in self.steps(run):
            text = _text(self.answered(run, fault), index)
            event = encode_event(TokenEvent(index, tokens, text), index)
            stream.add(event)
            client.send(event)
            index += 1
            if run.execution.tokens * 2 >= run.work.max_tokens:
                _spoil(client, fault)
            if stream.is_idle(self.cfg.keep_seconds):
                run.cancelled.set()
        if run.is_whole():
            usage = UsageEvent(Usage(run.execution.tokens))
            event = encode_event(usage, index)
            stream.add(event)
            client.send(event)

    def _keep(self, key: str, stream: KeptStream) -> None:
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
        client.cut()
    if fault is FaultKind.SHORT:
        client.shorten()


def main() -> int:
    """Run the stand-in until it is told to stop."""
    run_until_stopped(Engine(read_config("standins.engine", __doc__)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
