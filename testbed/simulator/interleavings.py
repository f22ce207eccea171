"""Model checking of real code: explores every order of its threads, or of the events that reach it."""

import threading
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol

__all__ = ["Choices", "EventScenario", "Interleaver", "StepLock", "explore_orders", "run_random_orders"]

MAX_RUNS = 200_000
MAX_STEP_SECONDS = 10


class EventScenario(Protocol):
    """A scenario whose events may occur in any order."""

    def events(self) -> Sequence[tuple[str, Callable[[], Any]]]:
        """Returns the events that may occur next, as pairs of name and action."""
        ...

    def check(self) -> Any:
        """Checks the state after an event; raises if it is wrong."""
        ...

    def finish(self) -> Any:
        """Completes everything that is still in flight."""
        ...


class Choices:
    """The choices of one run: those of a prefix, followed by the first option at each further choice."""

    def __init__(self, prefix: list[int]) -> None:
        self._prefix = prefix
        self.taken: list[tuple[int, int]] = []

    def pick(self, count: int) -> int:
        """Makes the next choice; returns a number below `count`."""
        n = len(self.taken)
        pick = self._prefix[n] if n < len(self._prefix) else 0
        self.taken.append((pick, count))
        return pick

    @classmethod
    def explore(cls, run: Callable[["Choices"], Any], max_runs: int = MAX_RUNS) -> int:
        """Calls `run` for every sequence of choices; returns the number of sequences."""
        prefix: list[int] = []
        for count in range(1, max_runs + 1):
            choices = cls(prefix)
            try:
                run(choices)
            except Exception as error:
                raise AssertionError(f"with the choices {[pick for pick, _ in choices.taken]}: {error!r}") from error
            next_prefix = choices.next_prefix()
            if next_prefix is None:
                return count
            prefix = next_prefix
        raise AssertionError(f"more than {max_runs} sequences of choices")

    def next_prefix(self) -> list[int] | None:
        """Returns the prefix of the next run in depth-first order; None after the last run."""
        taken = list(self.taken)
        while taken and taken[-1][0] + 1 >= taken[-1][1]:
            taken.pop()
        if not taken:
            return None
        return [pick for pick, _ in taken[:-1]] + [taken[-1][0] + 1]


def _run_events(scenario: EventScenario, pick: Callable[[int], int], max_events: int) -> list[str]:
    names: list[str] = []
    try:
        for _ in range(max_events):
            events = scenario.events()
            if not events:
                break
            name, action = events[pick(len(events))]
            names.append(name)
            action()
            scenario.check()
        scenario.finish()
        scenario.check()
    except BaseException as error:
        raise AssertionError(f"after {names}: {error!r}") from error
    return names


def explore_orders(make_scenario: Callable[[], EventScenario], max_events: int, max_runs: int = MAX_RUNS) -> int:
    """Runs a scenario in every order of up to `max_events` events; returns the number of orders."""
    prefix: list[int] = []
    for count in range(1, max_runs + 1):
        choices = Choices(prefix)
        _run_events(make_scenario(), choices.pick, max_events)
        next_prefix = choices.next_prefix()
        if next_prefix is None:
            return count
        prefix = next_prefix
    raise AssertionError(f"more than {max_runs} orders")


def run_random_orders(make_scenario: Callable[[], EventScenario], rng: Random, max_events: int, runs: int) -> None:
    """Runs a scenario in random orders of its events."""
    for _ in range(runs):
        _run_events(make_scenario(), rng.randrange, max_events)


class StepLock:
    """A lock whose acquisition and release are switch points."""

    def __init__(self, run: "Interleaver") -> None:
        self._run = run
        self.owner: int | None = None

    def __enter__(self) -> "StepLock":
        self._run.switch_point(lambda: self.owner is None)
        self.owner = threading.get_ident()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.owner = None
        self._run.switch_point()


def _always() -> bool:
    return True


class _Thread:
    """A thread that runs from one switch point to the next each time it is resumed."""

    def __init__(self, run: "Interleaver", work: Callable[[], Any]) -> None:
        self.resume = threading.Semaphore(0)
        self.is_ready: Callable[[], bool] = _always
        self.ended = False
        self.error: BaseException | None = None
        self._run, self._work = run, work
        self.thread = threading.Thread(target=self._body, daemon=True)

    def _body(self) -> None:
        self.resume.acquire()
        try:
            self._work()
        except BaseException as error:
            self.error = error
        self.ended = True
        self._run.step_ended.release()


class Interleaver:
    """One run of threads in a given order; `explore` runs all orders."""

    def __init__(self, prefix: list[int]) -> None:
        self._choices = Choices(prefix)
        self.step_ended = threading.Semaphore(0)
        self._threads: list[_Thread] = []
        self._current: _Thread | None = None

    def switch_point(self, is_ready: Callable[[], bool] = _always) -> None:
        """Suspends the calling thread until it is chosen to run; it can only be chosen while `is_ready` holds."""
        current = self._current
        if current is None or threading.current_thread() is not current.thread:
            assert is_ready(), "a lock is held by a thread outside the run"
            return
        current.is_ready = is_ready
        self.step_ended.release()
        current.resume.acquire()

    def run_threads(self, tasks: Sequence[Callable[[], Any]]) -> None:
        """Runs each task in a thread of its own; raises the error of the first failed task."""
        self._threads = [_Thread(self, work) for work in tasks]
        for started in self._threads:
            started.thread.start()
        while not all(thread.ended for thread in self._threads):
            ready = [thread for thread in self._threads if not thread.ended and thread.is_ready()]
            assert ready, "deadlock: each thread waits for another"
            self._current = ready[self._choices.pick(len(ready))]
            self._current.resume.release()
            self.step_ended.acquire(timeout=MAX_STEP_SECONDS)
        self._current = None
        for ended in self._threads:
            if ended.error is not None:
                raise ended.error

    @classmethod
    def explore(
        cls,
        make: Callable[["Interleaver"], tuple[Sequence[Callable[[], Any]], Callable[[], Any]]],
        max_runs: int = MAX_RUNS,
    ) -> int:
        """Runs the tasks that `make` returns in every order, with a check after each; returns the number of orders."""
        prefix: list[int] = []
        for count in range(1, max_runs + 1):
            run = cls(prefix)
            tasks, check = make(run)
            try:
                run.run_threads(tasks)
                check()
            except BaseException as error:
                order = [pick for pick, _ in run._choices.taken]
                raise AssertionError(f"in the order {order}: {error!r}") from error
            next_prefix = run._choices.next_prefix()
            if next_prefix is None:
                return count
            prefix = next_prefix
        raise AssertionError(f"more than {max_runs} orders")
