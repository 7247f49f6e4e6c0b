"""A node's process and signals, from its first moments on."""

import os
import signal
import subprocess
import sys
import time

from testtools.assertions import assert_that
from testtools.matchers import Equals

EXIT_SETTINGS = 2
"""Status of a node that can't use its settings. The module itself is not imported
here: it changes this process."""
POLL_SECONDS = 0.02


def open_once_read(path):
    """Return a descriptor for writing to a pipe, once the other side reads it."""
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            time.sleep(POLL_SECONDS)


def test_signal_of_changed_settings_does_not_end_a_starting_node(tmp_path):
    """SIGHUP meets it while it reads its settings; it goes on and refuses them."""
    path = tmp_path / "boot.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "cactusshed.sidecar"],
        env={**os.environ, "CACTUSSHED_BOOT": str(path)},
        stderr=subprocess.DEVNULL,
    )
    pipe = open_once_read(path)
    process.send_signal(signal.SIGHUP)
    os.write(pipe, b"no settings")
    os.close(pipe)
    assert_that(process.wait(), Equals(EXIT_SETTINGS))
