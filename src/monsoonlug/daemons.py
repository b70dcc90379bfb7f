"""Base classes of the daemons: background tasks, signals and exit codes."""

import asyncio
import inspect
from collections.abc import Callable, Coroutine

import uvloop
from mode import Service, Worker

from monsoonlug.exceptions import MonsoonlugError
from monsoonlug.logs import describe_exception, get_logger

EXIT_SUCCESS = 0
EXIT_FAILURE = 4

logger = get_logger("main")


class DaemonService(Service):
    """A service whose background tasks end the process if one of them fails.

    Args:
        logger: Logger of the daemon.
    """

    def __init__(self, *, logger):
        super().__init__()
        self._logger = logger
        self._tasks: list[asyncio.Task] = []

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._check_task)
        self._tasks.append(task)

    def _check_task(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self._logger.opt(exception=error).error(
            "A background task failed; stopping the daemon."
        )
        asyncio.create_task(self.crash(error))

    async def _run_periodically(
        self, interval: float, step: Callable[[], object]
    ) -> None:
        """Calls a function after each interval, until cancelled.

        An unexpected error is logged and costs only one step.

        Args:
            interval: Seconds between two calls.
            step: The function; what it returns is awaited if that is possible.
        """
        while True:
            await asyncio.sleep(interval)
            try:
                result = step()
                if inspect.isawaitable(result):
                    await result
            except Exception:
                self._logger.exception("A periodic task failed; it is run again.")

    async def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class DaemonWorker(Worker):
    """Runs a service until SIGTERM or SIGINT, or until it fails.

    Args:
        service: Service of the daemon.
    """

    def __init__(self, service: Service):
        loop = uvloop.new_event_loop()
        asyncio.set_event_loop(loop)
        super().__init__(
            service, loop=loop, override_logging=False, redirect_stdouts=False
        )

    def run(self) -> int:
        """Runs the service and returns the exit code of the process."""
        # The worker's own signal handler cancels this future.
        self._starting_fut = asyncio.ensure_future(self.start(), loop=self.loop)
        try:
            self.loop.run_until_complete(self._starting_fut)
        except asyncio.CancelledError:
            pass
        except (MonsoonlugError, OSError) as error:
            # The service is only partly started, so its `on_stop` cannot run. The
            # operating system releases the data folder and the addresses at exit.
            logger.critical("Cannot start: {}.", _describe_failure(error))
            self._cancel_all()
            return EXIT_FAILURE
        return self._shut_down()

    def _shut_down(self) -> int:
        try:
            self.stop_and_shutdown()
        except Exception as error:
            logger.critical("Stopped after an error: {}.", _describe_failure(error))
            return EXIT_FAILURE
        return EXIT_SUCCESS

    def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()


def _describe_failure(error: Exception) -> str:
    if isinstance(error, MonsoonlugError):
        return f"{error.code}: {error}"
    return describe_exception(error)
