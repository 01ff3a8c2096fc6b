"""Readers of configuration tables that gather every fault with its remedy."""

import typing

import attrs


@attrs.define
class Section:
    """One table of a configuration file; errors of all sections share one list."""

    where: str
    table: dict
    errors: list[str]
    seen: set[str] = attrs.field(factory=set)

    def fault(self, key: str, value: object, remedy: str) -> None:
        """Record one fault with place, value and remedy."""
        self.errors.append(f"{self.where}: {key} = {value!r}: {remedy}")

    def whole(self, key: str, default: int | None, low: int, high: int) -> int:
        """Return a whole number from `low` to `high`."""
        value = self._take(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            self.fault(key, value, f"give a whole number from {low} to {high}")
            return low
        return value

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """Return a number from `low` to `high`."""
        value = self._take(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.fault(key, value, f"give a number from {low} to {high}")
            return default
        if not low <= value <= high:
            self.fault(key, value, f"give a number from {low} to {high}")
            return default
        return float(value)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a text that is not empty."""
        value = self._take(key, default)
        if not isinstance(value, str) or not value.strip():
            self.fault(key, value, "give a text that is not empty")
            return ""
        return value

    def choice(self, key: str, default: str, allowed: typing.Iterable[str]) -> str:
        """Return one of the allowed names."""
        value = self._take(key, default)
        if value not in allowed:
            self.fault(key, value, f"give one of {', '.join(sorted(allowed))}")
            return default
        return value

    def flag(self, key: str, default: bool) -> bool:
        """Return true or false."""
        value = self._take(key, default)
        if not isinstance(value, bool):
            self.fault(key, value, "give true or false")
            return default
        return value

    def wholes(self, key: str, default: list[int], low: int, high: int) -> tuple[int, ...]:
        """Return a list of rising whole numbers."""
        value = self._take(key, default)
        good = isinstance(value, list) and len(value) > 0
        good = good and all(type(item) is int and low <= item <= high for item in value)
        if not good or sorted(value) != value:
            self.fault(key, value, f"give a rising list of whole numbers from {low} to {high}")
            return tuple(default)
        return tuple(value)

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of texts, empty when absent."""
        value = self._take(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
            self.fault(key, value, "give a list of texts")
            return ()
        return tuple(value)

    def section(self, key: str) -> "Section":
        """Return a table inside this one, empty when absent."""
        value = self._take(key, {})
        if not isinstance(value, dict):
            self.fault(key, value, "give a table")
            value = {}
        return Section(f"{self.where}: {key}", value, self.errors)

    def sections(self, key: str) -> dict[str, "Section"]:
        """Return the named tables inside the table `key`."""
        group = self.section(key)
        return {name: group.section(name) for name in group.table}

    def refuse_unknown(self) -> None:
        """Record a fault for each key that no reader asked for."""
        known = ", ".join(sorted(self.seen)) or "none"
        for key in sorted(set(self.table) - self.seen):
            self.fault(key, self.table[key], f"unknown key; known here: {known}")

    def _take(self, key: str, default: object) -> typing.Any:
        self.seen.add(key)
        return self.table.get(key, default)
