"""Reading of a complete HTTP response by the grammar of RFC 9112, to compare clients with it."""

import re

_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] ([1-5][0-9]{2})(?: [^\r\n]*)?\r?\n")
_FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\r\n]*)\r?\n")
_EMPTY_LINE = re.compile(rb"\r?\n")
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;[^\r\n]*)?\r?\n")
_TRAILERS = re.compile(rb"(?:[^\r\n]+\r?\n)*\r?\n")


def read_response(content):
    """Return the status and body of the first final response in ``content``.

    Returns None if it has no beginning that is a whole response.
    """
    position = 0
    while True:
        line = _STATUS_LINE.match(content, position)
        if line is None:
            return None
        position, fields = line.end(), []
        while field := _FIELD_LINE.match(content, position):
            fields.append((field[1].lower(), field[2].strip(b" \t").lower()))
            position = field.end()
        end = _EMPTY_LINE.match(content, position)
        if end is None:
            return None
        position = end.end()
        status = int(line[1])
        if status >= 200:
            body = _read_body(content[position:], status, fields)
            return None if body is None else (status, body)


def _read_body(content, status, fields):
    lengths = {value for name, value in fields if name == b"content-length"}
    codings = [value for name, value in fields if name == b"transfer-encoding"]
    if status in (204, 304):
        return b""
    if codings:
        return _read_chunks(content) if codings == [b"chunked"] else None
    if not lengths:
        return content
    length = lengths.pop()
    if lengths or not length.isdigit() or len(content) < int(length):
        return None
    return content[: int(length)]


def _read_chunks(content):
    body, position = b"", 0
    while True:
        line = _SIZE_LINE.match(content, position)
        if line is None:
            return None
        position, size = line.end(), int(line[1], 16)
        if size == 0:
            return body if _TRAILERS.match(content, position) else None
        chunk = content[position : position + size]
        if content[position + size : position + size + 2] != b"\r\n":
            return None
        body, position = body + chunk, position + size + 2
