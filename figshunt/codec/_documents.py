"""Decodes tables and settings from JSON with comments and checks them."""

import json
from pathlib import Path

import json5

from figshunt.settings import CheckedSettings, check_settings
from figshunt.tables import CheckedTables, Fault, check_tables


def decode_document(text: str) -> object:
    """Decode JSON with comments.

    Strict JSON is tried first, because the JSON5 parser is slow for large
    tables.

    :raises ValueError: with the line and column if the text is malformed.
    """
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return json5.loads(text)


def decode_tables(routes_text: str, pools_text: str) -> CheckedTables:
    """Decode and check both table documents as one pair."""
    documents = []
    faults = []
    for name, text in (("routes:", routes_text), ("pools:", pools_text)):
        try:
            documents.append(decode_document(text))
        except ValueError as error:
            faults.append(Fault(name, f"valid JSON with comments: {error}"))
    if faults:
        return CheckedTables(None, tuple(faults))
    return check_tables(*documents)


def decode_settings(text: str) -> CheckedSettings:
    """Decode and check a settings document."""
    try:
        return check_settings(decode_document(text))
    except ValueError as error:
        return CheckedSettings(
            None, (Fault("settings", f"valid JSON with comments: {error}"),)
        )


def read_settings(path: Path) -> CheckedSettings:
    """Read, decode and check a settings file.

    :raises OSError: if the file can't be read.
    """
    return decode_settings(path.read_text(encoding="utf-8"))
