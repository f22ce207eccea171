"""Runs a few real threads through every order in which they can meet at locks and disk calls."""

import threading

__all__ = ["Choices", "Interleave", "StepLock"]


class StepLock:
    """A lock whose taking and giving back are points at which another thread may go first."""

    def __init__(self, run):
        self._run = run
        self.owner = None

    def twin(self) -> "StepLock":
        return StepLock(self._run)

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


class Interleave:
    """One run in a given order. `explore` makes as many as there are orders."""

    def __init__(self, prefix: list[int]):
        self._prefix = prefix
        self.taken: list[tuple[int, int]] = []
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
            n = len(self.taken)
            pick = self._prefix[n] if n < len(self._prefix) else 0
            self.taken.append((pick, len(ready)))
            self._now = ready[pick]
            self._now.go.release()
            self.back.acquire(timeout=10)
        self._now = None
        for t in self._threads:
            if t.fault is not None:
                raise t.fault

    @classmethod
    def explore(cls, make, most: int = 200_000) -> int:
        """`make(run)` gives (works, check); returns how many orders were run."""
        prefix: list[int] = []
        for count in range(1, most + 1):
            run = cls(prefix)
            works, check = make(run)
            try:
                run.play(works)
                check()
            except BaseException as e:
                raise AssertionError(f"in the order {[p for p, _ in run.taken]}: {e!r}") from e
            taken = run.taken
            while taken and taken[-1][0] + 1 >= taken[-1][1]:
                taken.pop()
            if not taken:
                return count
            prefix = [p for p, _ in taken[:-1]] + [taken[-1][0] + 1]
        raise AssertionError(f"more than {most} orders")


class Choices:
    """Runs one piece of work once for each sequence of choices that it can make."""

    def __init__(self, prefix: list[int]):
        self._prefix = prefix
        self.taken: list[tuple[int, int]] = []

    def pick(self, options: int) -> int:
        n = len(self.taken)
        pick = self._prefix[n] if n < len(self._prefix) else 0
        self.taken.append((pick, options))
        return pick

    @classmethod
    def explore(cls, run, most: int = 200_000) -> int:
        """`run(choices)` is run for every sequence; returns how many there were."""
        prefix: list[int] = []
        for count in range(1, most + 1):
            choices = cls(prefix)
            try:
                run(choices)
            except Exception as e:
                raise AssertionError(f"with the choices {[p for p, _ in choices.taken]}: {e!r}") from e
            taken = choices.taken
            while taken and taken[-1][0] + 1 >= taken[-1][1]:
                taken.pop()
            if not taken:
                return count
            prefix = [p for p, _ in taken[:-1]] + [taken[-1][0] + 1]
        raise AssertionError(f"more than {most} sequences of choices")
