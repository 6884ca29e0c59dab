"""Tables that keep the latest entries only."""


def remember(table, key, value, maximum):
    """Set the value of a key as the latest, and forget the earliest surplus entries.

    Examples
    --------
    >>> table = {"a": 1, "b": 2}
    >>> remember(table, "a", 3, 2)
    >>> remember(table, "c", 4, 2)
    >>> table
    {'a': 3, 'c': 4}
    """
    table.pop(key, None)
    table[key] = value
    while len(table) > maximum:
        del table[next(iter(table))]
