"""Reads configuration tables and collects every error together with its remedy."""

import typing

import attrs


@attrs.define
class Section:
    """Table of a configuration file; all sections of a file add their errors to one list."""

    location: str
    table: dict
    errors: list[str]
    read_keys: set[str] = attrs.field(factory=set)

    def add_error(self, key: str, value: object, remedy: str) -> None:
        """Record an error with its location, value and remedy."""
        self.errors.append(f"{self.location}: {key} = {value!r}: {remedy}")

    def integer(self, key: str, default: int | None, low: int, high: int) -> int:
        """Return a whole number from `low` to `high`."""
        value = self._lookup(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            self.add_error(key, value, f"give a whole number from {low} to {high}")
            return low
        return value

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """Return a number from `low` to `high`."""
        value = self._lookup(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.add_error(key, value, f"give a number from {low} to {high}")
            return default
        if not low <= value <= high:
            self.add_error(key, value, f"give a number from {low} to {high}")
            return default
        return float(value)

    def string(self, key: str, default: str | None = None) -> str:
        """Return a non-empty string."""
        value = self._lookup(key, default)
        if not isinstance(value, str) or not value.strip():
            self.add_error(key, value, "give a non-empty string")
            return ""
        return value

    def choice(self, key: str, default: str, allowed: typing.Iterable[str]) -> str:
        """Return one of the allowed names."""
        value = self._lookup(key, default)
        if value not in allowed:
            self.add_error(key, value, f"give one of {', '.join(sorted(allowed))}")
            return default
        return value

    def boolean(self, key: str, default: bool) -> bool:
        """Return a Boolean value."""
        value = self._lookup(key, default)
        if not isinstance(value, bool):
            self.add_error(key, value, "give true or false")
            return default
        return value

    def integers(self, key: str, default: list[int], low: int, high: int) -> tuple[int, ...]:
        """Return a non-empty ascending list of whole numbers from `low` to `high`."""
        value = self._lookup(key, default)
        is_valid = isinstance(value, list) and len(value) > 0
        is_valid = is_valid and all(type(item) is int and low <= item <= high for item in value)
        if not is_valid or sorted(value) != value:
            self.add_error(
                key, value, f"give an ascending list of whole numbers from {low} to {high}"
            )
            return tuple(default)
        return tuple(value)

    def strings(self, key: str) -> tuple[str, ...]:
        """Return a list of non-empty strings; empty if the key is absent."""
        value = self._lookup(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
            self.add_error(key, value, "give a list of strings")
            return ()
        return tuple(value)

    def section(self, key: str) -> "Section":
        """Return a nested table; empty if the key is absent."""
        value = self._lookup(key, {})
        if not isinstance(value, dict):
            self.add_error(key, value, "give a table")
            value = {}
        return Section(f"{self.location}: {key}", value, self.errors)

    def sections(self, key: str) -> dict[str, "Section"]:
        """Return the tables nested in the table `key`, by name."""
        parent = self.section(key)
        return {name: parent.section(name) for name in parent.table}

    def reject_unknown_keys(self) -> None:
        """Record an error for each key that has not been read."""
        known = ", ".join(sorted(self.read_keys)) or "none"
        for key in sorted(set(self.table) - self.read_keys):
            self.add_error(key, self.table[key], f"unknown key; known keys: {known}")

    def _lookup(self, key: str, default: object) -> typing.Any:
        self.read_keys.add(key)
        return self.table.get(key, default)
