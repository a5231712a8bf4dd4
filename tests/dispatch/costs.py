"""Count what code executes, which doesn't depend on the machine's speed."""

import sys


class LineCounter:
    """Count the lines and calls that are executed; `most` of one piece."""

    def __init__(self):
        self.most = 0
        self.dearest = ''

    def measure(self, name, func, *args, **fields):
        """Return the result of a piece of work."""
        count = 0

        def trace(frame, event, arg):
            nonlocal count
            count += 1
            return trace

        former = sys.gettrace()
        sys.settrace(trace)
        try:
            result = func(*args, **fields)
        finally:
            sys.settrace(former)
        if count > self.most:
            self.most, self.dearest = count, name
        return result
