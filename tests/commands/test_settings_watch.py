"""Settings files that change with or without a signal."""

import os
import tempfile
import unittest
from pathlib import Path

from figshunt.commands._settings_watch import SettingsWatch


class SettingsWatchTest(unittest.TestCase):
    """Guards against a host that never learns of new hosts to find others through."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "boot.toml"
        self.path.write_text("a", encoding="utf-8")
        self.reloads = 0
        self.watch = SettingsWatch(self.path, self.count_reload)

    def count_reload(self) -> None:
        self.reloads += 1

    def replace_file(self, text: str) -> None:
        new_path = self.path.with_suffix(".new")
        new_path.write_text(text, encoding="utf-8")
        os.replace(new_path, self.path)

    def test_each_change_is_noticed_once(self) -> None:
        for number, change in enumerate((self.path.write_text, self.replace_file), 1):
            change("b" * number + "c")
            self.watch.check()
            self.watch.check()
            self.assertEqual(number, self.reloads)

    def test_signal_reloads_and_the_next_check_does_not(self) -> None:
        self.path.write_text("bb", encoding="utf-8")
        self.watch.reload()
        self.watch.check()
        self.assertEqual(1, self.reloads)

    def test_missing_file_is_read_once_it_is_back(self) -> None:
        self.path.unlink()
        self.watch.check()
        self.assertEqual(0, self.reloads)
        self.replace_file("bb")
        self.watch.check()
        self.assertEqual(1, self.reloads)


if __name__ == "__main__":
    unittest.main()
