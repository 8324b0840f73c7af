"""Entry point of the gateway: the binary `sycamore-gateway`."""

import gc
import os
import signal
import sys


def main(argv: list[str] | None = None) -> int:
    """Runs the gateway until it is told to end."""
    # A signal to reload would end a process that still loads its modules. What
    # it announces is read later, with all settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Each of these takes a tenth of the loading: the search of all packages for
    # plug-ins, and the search of modules, which are no garbage.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "1")
    gc.disable()
    from sycamorehollow.programs import gateway_command

    return gateway_command.main(argv)


if __name__ == "__main__":
    sys.exit(main())
