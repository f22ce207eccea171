"""Compares the table of log events in the operators' page with the events that the sources log."""

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operating.md"
SOURCES = (ROOT / "pipitlink", ROOT / "platform")
LEVELS = {"info": "info", "debug": "debug", "warning": "warning", "failure": "warning"}
FAILURE_FIELDS = {"error", "text"}
REPORTERS = {"run_in_background": 1, "error_reporter": 0}
"""Methods that log failures of background work under a given name, and the position of that argument."""
DEFINITION = ROOT / "pipitlink" / "context.py"
"""Defines the methods in REPORTERS; not checked, since the event is a parameter there."""
NAMED_BY_RPC_METHOD = {"method", "frame.method"}
"""Expressions that name background work after the RPC method it serves, which the page explains in one row."""
EVENT_ROW = re.compile(r"^\| `(\w+)` \| (\w+) \| ([^|]*) \| [^|]+ \| [^|]+ \|$", re.M)
BACKGROUND_ROW = re.compile(r"^\| background work, [^|]*\| warning \| `error`, `text` \| ([^|]+) \| [^|]+ \|$", re.M)


class LoggedEvent(NamedTuple):
    """An event as logged by one call."""

    name: str
    level: str
    fields: frozenset[str]


class UnreadableEvent(Exception):
    """A call whose event is not a string literal."""


def source_files() -> list[Path]:
    """Returns the source files whose events the operators' page must list."""
    return sorted(path for folder in SOURCES for path in folder.rglob("*.py") if path != DEFINITION)


def called_name(call: ast.Call) -> str:
    """Returns the last part of the called function's name."""
    return call.func.attr if isinstance(call.func, ast.Attribute) else getattr(call.func, "id", "")


def is_logger(expression: ast.expr) -> bool:
    """Whether an expression is named like a logger."""
    return ast.unparse(expression).split(".")[-1] in ("logger", "_logger")


def calls_in(tree: ast.AST) -> Iterator[ast.Call]:
    return (node for node in ast.walk(tree) if isinstance(node, ast.Call))


def logged_events(tree: ast.AST) -> Iterator[LoggedEvent]:
    """Yields the events that a module logs with its logger."""
    for call in calls_in(tree):
        if not (isinstance(call.func, ast.Attribute) and call.func.attr in LEVELS and is_logger(call.func.value)):
            continue
        event = call.args[0]
        if not (isinstance(event, ast.Constant) and isinstance(event.value, str)):
            raise UnreadableEvent(ast.unparse(call))
        fields = {keyword.arg for keyword in call.keywords if keyword.arg}
        if call.func.attr == "failure":
            fields |= FAILURE_FIELDS
        yield LoggedEvent(event.value, LEVELS[call.func.attr], frozenset(fields))


def reporter_aliases(tree: ast.AST) -> set[str]:
    """Returns the names to which a module assigns the method `error_reporter`, as in `report = ctx.error_reporter`."""
    aliases = set()
    for assignment in (node for node in ast.walk(tree) if isinstance(node, ast.Assign)):
        target, value = assignment.targets[0], assignment.value
        pairs = [(target, value)]
        if isinstance(target, ast.Tuple) and isinstance(value, ast.Tuple):
            pairs = list(zip(target.elts, value.elts, strict=True))
        aliases |= {ast.unparse(name) for name, source in pairs if ast.unparse(source).endswith(".error_reporter")}
    return aliases


def argument_at(call: ast.Call, position: int, name: str = "event") -> ast.expr:
    """Returns an argument that may be passed by position or by name."""
    if position < len(call.args):
        return call.args[position]
    return next(keyword.value for keyword in call.keywords if keyword.arg == name)


def forwarding_methods(tree: ast.AST) -> Iterator[tuple[str, int, str]]:
    """Yields the methods that pass one of their parameters to a method in REPORTERS as the name of background work.

    For each: the method's name, and the position and name of the parameter.
    """
    for method in (node for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)):
        parameters = [argument.arg for argument in method.args.args if argument.arg != "self"]
        for call in calls_in(method):
            if called_name(call) in REPORTERS:
                passed = ast.unparse(argument_at(call, REPORTERS[called_name(call)]))
                if passed in parameters and passed not in NAMED_BY_RPC_METHOD:
                    yield method.name, parameters.index(passed), passed


def background_names(tree: ast.AST) -> Iterator[str]:
    """Yields the names under which failures of a module's background work are logged."""
    forwarding = {name: (position, parameter) for name, position, parameter in forwarding_methods(tree)}
    forwarded = {parameter for _, parameter in forwarding.values()}
    reporters = {name: (position, "event") for name, position in REPORTERS.items()}
    aliases = dict.fromkeys(reporter_aliases(tree), (0, "event"))
    taking_a_name = reporters | aliases | forwarding
    for call in calls_in(tree):
        if called_name(call) not in taking_a_name:
            continue
        name = argument_at(call, *taking_a_name[called_name(call)])
        if isinstance(name, ast.Constant):
            yield name.value
        elif ast.unparse(name) not in NAMED_BY_RPC_METHOD | forwarded:
            raise UnreadableEvent(ast.unparse(call))


class LogEvents(unittest.TestCase):
    def setUp(self):
        self.page = PAGE.read_text()
        self.trees = [ast.parse(path.read_text()) for path in source_files()]

    def test_the_table_lists_each_event_with_its_level_and_fields(self):
        logged: dict[tuple[str, str], set[str]] = {}
        for event in (event for tree in self.trees for event in logged_events(tree)):
            logged.setdefault((event.name, event.level), set()).update(event.fields)
        rows = EVENT_ROW.findall(self.page)
        listed = {(name, level): set(re.findall(r"`(\w+)`", fields)) for name, level, fields in rows}
        self.assertEqual(len(rows), len(listed), "docs/operating.md lists an event twice")
        self.assertEqual(sorted(set(logged) - set(listed)), [], "logged, but not in docs/operating.md")
        self.assertEqual(sorted(set(listed) - set(logged)), [], "in docs/operating.md, but not logged")
        self.assertEqual(listed, logged, "fields in docs/operating.md and fields as logged differ")

    def test_the_table_lists_each_name_of_background_work(self):
        logged = {name for tree in self.trees for name in background_names(tree)}
        (row,) = BACKGROUND_ROW.findall(self.page)
        listed = re.findall(r"`(\w+)`", row)
        self.assertEqual(len(listed), len(set(listed)), "docs/operating.md lists a name twice")
        self.assertEqual(sorted(logged - set(listed)), [], "used in the code, but not in docs/operating.md")
        self.assertEqual(sorted(set(listed) - logged), [], "in docs/operating.md, but not in the code")


class Reading(unittest.TestCase):
    """Tests the functions above that find events in source code."""

    def test_an_event_is_read_with_its_level_and_fields(self):
        tree = ast.parse("self._ctx.logger.failure('lost', error, log=log)\nlogger.info('met', peer=1)")
        self.assertEqual(
            set(logged_events(tree)),
            {
                LoggedEvent("lost", "warning", frozenset({"log", "error", "text"})),
                LoggedEvent("met", "info", frozenset({"peer"})),
            },
        )

    def test_an_event_that_is_not_a_literal_raises_an_error(self):
        with self.assertRaises(UnreadableEvent):
            list(logged_events(ast.parse("logger.info(f'{name}_lost')")))
        with self.assertRaises(UnreadableEvent):
            list(background_names(ast.parse("ctx.run_in_background(work, names[0])")))

    def test_names_of_background_work_are_found_through_aliases_and_forwarding_methods(self):
        source = """
class Part:
    def open(self):
        timers, report = self._ctx.timers, self._ctx.error_reporter
        timers.call_repeatedly(INTERVAL, work, report("check"))
        self._repeat(INTERVAL, "poll")
        self._ctx.run_in_background(work, "save")
        self._ctx.run_in_background(work, method)

    def _repeat(self, interval, name):
        self._ctx.timers.call_repeatedly(interval, work, self._ctx.error_reporter(name))
"""
        self.assertEqual(sorted(background_names(ast.parse(source))), ["check", "poll", "save"])


if __name__ == "__main__":
    unittest.main()
