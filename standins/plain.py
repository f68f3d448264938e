"""Stand-in for a plain service, which also has calls that are not idempotent."""

import msgspec

from standins.faults import FaultKind
from standins.process import run_until_stopped
from standins.run import Run
from standins.server import Exchange
from standins.upstream import Upstream, read_config


class PlainResponse(msgspec.Struct, frozen=True):
    """Response of the plain service.

    Parameters
    ----------
    number : int
        Position of the execution in the ledger.
    method, path : str
        Method and path of the request.
    echo, kind : str
        Fields of the request body.
    tokens : int
        Cost of the request in tokens.
    """

    number: int
    method: str
    path: str
    echo: str
    kind: str
    tokens: int


class PlainService(Upstream):
    """Service that executes each request, even if the client disconnects meanwhile."""

    def serve(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        """Execute a request and send the response."""
        with self.occupied_slot(run):
            for _ in self.generate(run):
                pass
        if not run.is_complete():
            exchange.abort()
            return
        execution = self.answered_run(run, fault).execution
        response = PlainResponse(
            execution.number,
            execution.method,
            execution.path,
            execution.echo,
            execution.kind,
            execution.tokens,
        )
        self.send_json(exchange, run, fault, response)


def main() -> int:
    """Run the stand-in until a signal stops it."""
    run_until_stopped(PlainService(read_config("standins.plain", __doc__)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
