"""Names of the router's objects, as the platform's store has them.

The steps of a name are joined by slashes in the router and by dots in the
store.  A step may be the name of a service, which is any text: all but letters,
digits, `_` and `-` is escaped as `~` and two hexadecimal digits for each byte
of its UTF-8 form.
"""

import re

_ROUTER_SEPARATOR = '/'
_PLATFORM_SEPARATOR = '.'
_ESCAPED = re.compile('[^A-Za-z0-9_/-]')
_ESCAPES = re.compile('(?:~[0-9a-f]{2})+')
_ESCAPE = '~'


def _escape(found: re.Match[str]) -> str:
    return ''.join(f'{_ESCAPE}{each:02x}' for each in found[0].encode())


def _unescape(found: re.Match[str]) -> str:
    content = bytes.fromhex(found[0].replace(_ESCAPE, ''))
    return content.decode(errors='replace')


def to_platform_name(name: str) -> str:
    """Return the name in the store of an object of the router."""
    escaped = _ESCAPED.sub(_escape, name)
    return escaped.replace(_ROUTER_SEPARATOR, _PLATFORM_SEPARATOR)


def to_router_name(platform_name: str) -> str:
    """Return the router's name of an object in the store."""
    escaped = platform_name.replace(_PLATFORM_SEPARATOR, _ROUTER_SEPARATOR)
    return _ESCAPES.sub(_unescape, escaped)
