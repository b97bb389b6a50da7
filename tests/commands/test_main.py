"""Entry point of the command line before the command itself runs."""

import signal
import unittest
from unittest import mock

from figshunt.commands import main


class CommandImportTest(unittest.TestCase):
    """Guards against a SIGHUP that ends the gateway while it imports its modules."""

    def test_gateway_ignores_sighup_before_import(self) -> None:
        recorder = mock.Mock()
        recorder.load.side_effect = ImportError("import stopped by the test")
        with (
            mock.patch("signal.signal", recorder.signal),
            mock.patch("importlib.import_module", recorder.load),
            self.assertRaises(ImportError),
        ):
            main(["gateway"])
        self.assertEqual(
            [
                mock.call.signal(signal.SIGHUP, signal.SIG_IGN),
                mock.call.load("figshunt.commands._gateway"),
            ],
            recorder.mock_calls,
        )
