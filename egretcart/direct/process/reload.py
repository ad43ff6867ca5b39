"""Reloads a changed settings file, at regular checks or on SIGHUP."""

from collections.abc import Callable
import pathlib
import signal
from typing import Generic
from typing import TypeVar

from result import Ok
import trio

from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import ProcessChanged
from egretcart.direct.process.settings import DirectSettings
from egretcart.direct.process.settings import load_direct_settings

POLL_INTERVAL_S = 1.0

S = TypeVar("S", bound=DirectSettings)


class SettingsWatcher(Generic[S]):
    """Passes on changed settings; invalid ones are logged and ignored.

    Parameters
    ----------
    path : pathlib.Path
    settings : DirectSettings
        The settings with which the process has started. The file may have
        changed since it was read for them.
    on_change : callable
        Called with the new settings.
    log : DecisionLog

    Attributes
    ----------
    last_data : bytes
        Contents of the file when it was last read; empty before that.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        settings: S,
        on_change: Callable[[S], None],
        log: DecisionLog,
    ) -> None:
        self.path = path
        self.settings = settings
        self.on_change = on_change
        self.log = log
        self.last_data = b""

    def _read_file(self) -> bytes:
        try:
            return self.path.read_bytes()
        except OSError as error:
            self.log.write(
                ProcessChanged(state="settings unreadable", cause=str(error))
            )
            return b""

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll)
            with trio.open_signal_receiver(signal.SIGHUP) as signals:
                # The program may have blocked it for its start.
                signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
                async for _ in signals:
                    self.reload_if_changed()

    async def _poll(self) -> None:
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Read the file, and pass on its settings if it has changed."""
        data = self._read_file()
        if not data or data == self.last_data:
            return
        self.last_data = data
        loaded = load_direct_settings(self.path, type(self.settings))
        if not isinstance(loaded, Ok):
            self.log.write(
                ProcessChanged(state="settings wrong", cause=loaded.err_value)
            )
        elif loaded.ok_value != self.settings:
            self.settings = loaded.ok_value
            self.log.write(ProcessChanged(state="settings changed"))
            self.on_change(self.settings)
