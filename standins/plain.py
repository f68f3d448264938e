"""Stand-in for a plain service whose calls may not all be repeated."""

import msgspec

from standins.faults import FaultKind
from standins.process import run_until_stopped
from standins.run import Run
from standins.server import Exchange
from standins.upstream import Upstream, read_config


class PlainResponse(msgspec.Struct, frozen=True):
    """Answer of the plain service.

    Parameters
    ----------
    number : int
        The execution's position in the ledger.
    method, path : str
        The call.
    echo, kind : str
        From the request's body.
    tokens : int
        Cost.
    """

    number: int
    method: str
    path: str
    echo: str
    kind: str
    tokens: int


class PlainService(Upstream):
    """Executes each call that reaches it, also when its client hangs up."""

    def serve(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        """Execute a call and answer."""
        with self.occupied_slot(run):
            for _ in self.generate(run):
                pass
        if not run.is_complete():
            exchange.abort()
            return
        of = self.answered_run(run, fault).execution
        answer = PlainResponse(
            of.number, of.method, of.path, of.echo, of.kind, of.tokens
        )
        self.send_json(exchange, run, fault, answer)


def main() -> int:
    """Run the stand-in until it is told to stop."""
    run_until_stopped(PlainService(read_config("standins.plain", __doc__)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
