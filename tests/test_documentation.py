"""Checks that the paths in backticks in pages, docstrings and comments exist."""

import re
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "pipitlink"
PAGES = (ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md")))
IN_BACKTICKS = re.compile(r"`([^`]+)`")
SOURCE_PATH = re.compile(r"(?:[\w.-]+/)+[\w-]+\.(?:py|toml|md|proto)")
"""A path with a folder, as in `tests/test_process_cluster.py`, `router/call.py` or `state_machines/request.toml`."""
MODULE_NAME = re.compile(r"\w+\.(?:py|proto)")
"""A file without a folder, as in `segments.py`."""


class NamedPath(NamedTuple):
    """A path in backticks, and the page and line that contain it."""

    page: str
    line: int
    path: str

    def __str__(self) -> str:
        return f"{self.page}:{self.line} names `{self.path}`, which does not exist"


def named_paths(page: str, text: str, pattern: re.Pattern[str]) -> Iterator[NamedPath]:
    """Yields the texts in backticks that match a pattern."""
    for number, line in enumerate(text.splitlines(), 1):
        for word in IN_BACKTICKS.findall(line):
            if pattern.fullmatch(word):
                yield NamedPath(page, number, word)


def is_present(path: str) -> bool:
    """Whether a path exists relative to the root, or to the package as in `router/call.py`."""
    return (ROOT / path).is_file() or (PACKAGE / path).is_file()


def names_a_file(name: str) -> bool:
    """Whether a file of this name exists in the package, the tests or the platform folder."""
    return any(next(folder.rglob(name), None) for folder in (PACKAGE, ROOT / "tests", ROOT / "platform"))


class Documentation(unittest.TestCase):
    def pages(self) -> Iterator[tuple[str, str]]:
        for page in PAGES:
            yield str(page.relative_to(ROOT)), page.read_text()

    def test_paths_in_the_pages_exist(self):
        missing = [
            str(named)
            for page, text in self.pages()
            for named in named_paths(page, text, SOURCE_PATH)
            if not is_present(named.path)
        ]
        self.assertEqual(missing, [])

    def test_files_named_without_a_folder_exist(self):
        missing = [
            str(named)
            for page, text in self.pages()
            for named in named_paths(page, text, MODULE_NAME)
            if not names_a_file(named.path)
        ]
        self.assertEqual(missing, [])

    def test_paths_in_docstrings_and_comments_exist(self):
        missing = [
            str(named)
            for source in sorted(PACKAGE.rglob("*.py"))
            for named in named_paths(str(source.relative_to(ROOT)), source.read_text(), SOURCE_PATH)
            if not is_present(named.path)
        ]
        self.assertEqual(missing, [])


class Reading(unittest.TestCase):
    """The functions of this test that read pages."""

    def test_only_paths_in_backticks_are_checked(self):
        text = "see `router/call.py`, router/other.py\n`call.py` and `batch/<id>` or `GET /v1/a.py`"
        self.assertEqual([n.path for n in named_paths("p", text, SOURCE_PATH)], ["router/call.py"])
        self.assertEqual([(n.line, n.path) for n in named_paths("p", text, MODULE_NAME)], [(2, "call.py")])

    def test_a_missing_path_is_reported_with_its_line(self):
        self.assertFalse(is_present("router/never_there.py"))
        self.assertFalse(names_a_file("never_there.py"))
        self.assertEqual(
            str(NamedPath("docs/a.md", 3, "router/never_there.py")),
            "docs/a.md:3 names `router/never_there.py`, which does not exist",
        )


if __name__ == "__main__":
    unittest.main()
