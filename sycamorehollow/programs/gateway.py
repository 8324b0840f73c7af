"""Entry point of the gateway: the binary `sycamore-gateway`."""

import gc
import signal
import sys


def main(argv: list[str] | None = None) -> int:
    """Runs the gateway until it is told to end."""
    # A signal to reload would end a process that still loads its modules. What
    # it announces is read later, with all settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Modules are no garbage; searching them takes a tenth of their loading.
    gc.disable()
    from sycamorehollow.programs import gateway_command

    return gateway_command.main(argv)


if __name__ == "__main__":
    sys.exit(main())
