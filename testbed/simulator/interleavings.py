"""Runs real code through every order in which its threads, or the events around it, can come."""

import threading

__all__ = ["Choices", "Interleaver", "StepLock", "explore_events", "walk_events"]


class Choices:
    """The choices of one run: those of a prefix, and then the first of each."""

    def __init__(self, prefix: list[int]):
        self._prefix = prefix
        self.taken: list[tuple[int, int]] = []

    def pick(self, count: int) -> int:
        n = len(self.taken)
        pick = self._prefix[n] if n < len(self._prefix) else 0
        self.taken.append((pick, count))
        return pick

    @classmethod
    def explore(cls, run, most: int = 200_000) -> int:
        """`run(choices)` is run for every sequence of choices; returns how many there were."""
        prefix: list[int] | None = []
        for count in range(1, most + 1):
            choices = cls(prefix)
            try:
                run(choices)
            except Exception as e:
                raise AssertionError(f"with the choices {[pick for pick, _ in choices.taken]}: {e!r}") from e
            prefix = choices.next_prefix()
            if prefix is None:
                return count
        raise AssertionError(f"more than {most} sequences of choices")

    def next_prefix(self) -> list[int] | None:
        """The choices that lead to the next run, depth first; None after the last one."""
        taken = list(self.taken)
        while taken and taken[-1][0] + 1 >= taken[-1][1]:
            taken.pop()
        if not taken:
            return None
        return [pick for pick, _ in taken[:-1]] + [taken[-1][0] + 1]


def _play_events(scenario, pick, most_events: int) -> list[str]:
    names = []
    try:
        for _ in range(most_events):
            events = scenario.events()
            if not events:
                break
            name, do = events[pick(len(events))]
            names.append(name)
            do()
            scenario.check()
        scenario.finish()
        scenario.check()
    except BaseException as e:
        raise AssertionError(f"after {names}: {e!r}") from e
    return names


def explore_events(make_scenario, most_events: int, most: int = 200_000) -> int:
    """Runs a scenario through every order of up to so many of its events; returns how many orders were run.

    A scenario offers `events()`, the pairs of name and action that may come next, `check()` after each of them, and
    `finish()`, which lets all that is under way end.
    """
    prefix: list[int] | None = []
    for count in range(1, most + 1):
        choices = Choices(prefix)
        _play_events(make_scenario(), choices.pick, most_events)
        prefix = choices.next_prefix()
        if prefix is None:
            return count
    raise AssertionError(f"more than {most} orders")


def walk_events(make_scenario, rng, most_events: int, walks: int):
    """Runs a scenario through orders of its events that are drawn at random."""
    for _ in range(walks):
        _play_events(make_scenario(), rng.randrange, most_events)


class StepLock:
    """A lock whose taking and giving back are points at which another thread may go first."""

    def __init__(self, run):
        self._run = run
        self.owner = None

    def __enter__(self):
        self._run.point(lambda: self.owner is None)
        self.owner = threading.get_ident()
        return self

    def __exit__(self, *exc):
        self.owner = None
        self._run.point()


class _Thread:
    def __init__(self, run, work):
        self.go = threading.Semaphore(0)
        self.may = lambda: True
        self.over = False
        self.fault = None
        self._run, self._work = run, work
        self.thread = threading.Thread(target=self._body, daemon=True)

    def _body(self):
        self.go.acquire()
        try:
            self._work()
        except BaseException as e:
            self.fault = e
        self.over = True
        self._run.back.release()


class Interleaver:
    """One run in a given order. `explore` makes as many as there are orders."""

    def __init__(self, prefix: list[int]):
        self._choices = Choices(prefix)
        self.back = threading.Semaphore(0)
        self._threads: list[_Thread] = []
        self._now: _Thread | None = None

    def point(self, may=lambda: True):
        """A thread stops here until it is its turn and it may go on."""
        me = self._now
        if me is None or threading.current_thread() is not me.thread:
            assert may(), "taken outside the run"
            return
        me.may = may
        self.back.release()
        me.go.acquire()

    def play(self, works):
        self._threads = [_Thread(self, w) for w in works]
        for t in self._threads:
            t.thread.start()
        while not all(t.over for t in self._threads):
            ready = [t for t in self._threads if not t.over and t.may()]
            assert ready, "the threads wait for one another for ever"
            self._now = ready[self._choices.pick(len(ready))]
            self._now.go.release()
            self.back.acquire(timeout=10)
        self._now = None
        for t in self._threads:
            if t.fault is not None:
                raise t.fault

    @classmethod
    def explore(cls, make, most: int = 200_000) -> int:
        """`make(run)` gives (works, check); returns how many orders were run."""
        prefix: list[int] | None = []
        for count in range(1, most + 1):
            run = cls(prefix)
            works, check = make(run)
            try:
                run.play(works)
                check()
            except BaseException as e:
                raise AssertionError(f"in the order {[p for p, _ in run._choices.taken]}: {e!r}") from e
            prefix = run._choices.next_prefix()
            if prefix is None:
                return count
        raise AssertionError(f"more than {most} orders")
