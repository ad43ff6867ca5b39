"""Checks that calls raise errors."""


def raised_error(kind, function, *arguments):
    """Return the error that a call raises."""
    try:
        function(*arguments)
    except kind as error:
        return error
    raise AssertionError(f"no {kind} from {function}")
