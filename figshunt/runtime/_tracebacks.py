"""Frees what the frames of a handled error hold."""


def drop_tracebacks(error: BaseException) -> None:
    """Remove the tracebacks of a handled error and of the errors that led to it.

    The HTTP library keeps the error of a response, whose traceback refers to the
    frames that read it and thus to the response. Such a cycle with all bytes that were
    received lives until the next full garbage collection.
    """
    pending: list[BaseException | None] = [error]
    while pending:
        current = pending.pop()
        if current is not None and current.__traceback__ is not None:
            current.__traceback__ = None
            pending += [current.__cause__, current.__context__]
