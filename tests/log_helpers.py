"""Configuration of the logs for one test."""

import logging
from contextlib import contextmanager

from loguru import logger

from monsoonlug.logs import configure_logs


@contextmanager
def configure_test_logs(*, log_format="text", log_level="DEBUG"):
    """Logs to standard error like a daemon, and restores the logs at the end."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    # `configure_logs` closes existing handlers, but pytest still needs its own.
    root.handlers = []
    configure_logs(log_format=log_format, log_level=log_level)
    try:
        yield
    finally:
        logger.remove()
        logging.captureWarnings(False)
        root.handlers = handlers
        root.setLevel(level)
