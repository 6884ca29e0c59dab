"""Odd values that another writer may leave in a document, as the bytes of JSON."""

DEPTH = 5000
DEEP = b"[" * DEPTH + b"]" * DEPTH
DEEP_OBJECT = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
LONG_NUMBER = b"9" * 5000

VALUES = (
    ("nested 5,000 deep", DEEP),
    ("objects nested 5,000 deep", DEEP_OBJECT),
    ("number of 5,000 digits", LONG_NUMBER),
    ("negative number of 5,000 digits", b"-" + LONG_NUMBER),
    ("number of 400 digits", b"9" * 400),
    ("infinite", b"1e999"),
    ("no number", b"NaN"),
    ("not UTF-8", b'"\xff\xfe"'),
    ("control character", b'"a\x00b"'),
    ("lone surrogate", b'"\\ud800"'),
    ("text", b'"odd"'),
    ("number", b"7.5"),
    ("negative", b"-1"),
    ("true", b"true"),
    ("null", b"null"),
    ("list", b"[[]]"),
    ("object", b'{"metadata": []}'),
)
