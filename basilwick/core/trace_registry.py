"""Classes that appear in traces, and how they are written as JSON."""

from __future__ import annotations

import collections.abc
import sys
from collections.abc import Callable, Collection, Mapping
from math import inf, isfinite
from typing import TYPE_CHECKING, Any, get_args, get_origin

from attrs import define, field, resolve_types
from cattrs import Converter
from cattrs.errors import BaseValidationError
from orjson import loads

from basilwick.core import assignment, records, types
from basilwick.core.assigner import Assigner, AssignerView, StoredBlock, WriteBlock
from basilwick.core.assignment import BlockDocument
from basilwick.core.errors import InvalidRecordError

if TYPE_CHECKING:
    from basilwick.core.trace import Decision

__all__ = ["TraceRegistry", "build_registry"]

_ACTIVE_AT = "active_at"


def _is_mapping(cls: Any) -> bool:
    return get_origin(cls) in (dict, collections.abc.Mapping)


def _is_collection(cls: Any) -> bool:
    return get_origin(cls) is collections.abc.Collection


@define
class TraceRegistry:
    """Creates decision objects by name; reads and writes their events and actions."""

    _decisions: dict[str, Callable[..., Decision]] = field(factory=dict)
    _classes: dict[str, type] = field(factory=dict)
    _converter: Converter = field(factory=Converter)

    def __attrs_post_init__(self) -> None:
        # JSON has no mappings with keys other than text.
        self._converter.register_unstructure_hook_factory(
            _is_mapping, self._build_mapping_writer
        )
        self._converter.register_structure_hook_factory(
            _is_mapping, self._build_mapping_reader
        )
        self._converter.register_unstructure_hook_factory(
            _is_collection, lambda cls: sorted
        )
        self._converter.register_structure_hook_factory(
            _is_collection, lambda cls: lambda value, _: tuple(value)
        )

    def _build_mapping_writer(self, cls: Any) -> Callable[[Any], Any]:
        key_class, value_class = get_args(cls)
        write = self._converter.unstructure
        return lambda value: [
            [write(key, key_class), write(item, value_class)]
            for key, item in value.items()
        ]

    def _build_mapping_reader(self, cls: Any) -> Callable[[Any, Any], Any]:
        key_class, value_class = get_args(cls)
        read = self._converter.structure
        return lambda value, _: {
            read(key, key_class): read(item, value_class) for key, item in value
        }

    def add_decision(self, name: str, create: Callable[..., Decision]) -> None:
        """Register a decision object by a function that creates it."""
        self._decisions[name] = create

    def add_class(self, cls: type, names: Mapping[str, Any] | None = None) -> None:
        """Register an attrs class of events, actions or their parts.

        Parameters
        ----------
        cls : type
            The class. Its annotations are resolved here, because modules import the
            names in them for type checking only.
        names : mapping of str to object, optional
            Further names that its annotations use.
        """
        known = {
            **vars(collections.abc),
            **vars(types),
            **vars(records),
            **vars(assignment),
            **self._classes,
            **vars(sys.modules[cls.__module__]),
            **(names or {}),
        }
        resolve_types(cls, globalns=known)
        self._classes[cls.__name__] = cls

    def add_hooks(
        self, cls: type, write: Callable[[Any], Any], read: Callable[[Any], Any]
    ) -> None:
        """Register a class with conversions of its own."""
        self._converter.register_unstructure_hook_func(lambda t: t is cls, write)
        self._converter.register_structure_hook_func(
            lambda t: t is cls, lambda value, _: read(value)
        )
        self._classes[cls.__name__] = cls

    def create_decision(self, name: str, arguments: Mapping[str, Any]) -> Decision:
        """Create a decision object."""
        if name not in self._decisions:
            raise InvalidRecordError(
                f"trace is of {name!r}; this program replays "
                f"{', '.join(sorted(self._decisions))}: upgrade it"
            )
        return self._decisions[name](**arguments)

    def encode(self, value: Any) -> dict[str, Any]:
        """Return an event or action with the name of its class."""
        cls = type(value)
        data = self._converter.unstructure(value, cls)
        return {"type": cls.__name__, "value": data}

    def decode(self, data: Mapping[str, Any]) -> Any:
        """Read what ``encode`` returned.

        Raises
        ------
        InvalidRecordError
            If the class is not known or the data does not fit it.
        """
        cls = self._classes.get(data["type"])
        if cls is None:
            raise InvalidRecordError(
                f"trace holds {data['type']!r}, which this program does not know; "
                "upgrade it"
            )
        try:
            return self._converter.structure(data["value"], cls)
        except (BaseValidationError, TypeError, KeyError, ValueError) as error:
            raise InvalidRecordError(
                f"trace holds a {data['type']} that cannot be read ({error!r}); "
                "record it again"
            ) from error


def build_registry() -> TraceRegistry:
    """Return the registry of this program's decision objects."""
    registry = TraceRegistry()
    registry.add_hooks(
        BlockDocument,
        lambda document: loads(document.encode()),
        BlockDocument.from_data,
    )
    for cls in (StoredBlock, AssignerView, WriteBlock):
        registry.add_class(cls, {"Callable": Callable, "Collection": Collection})
    _add_activation_times(registry)
    registry.add_decision("assigner", Assigner)
    return registry


def _add_activation_times(registry: TraceRegistry) -> None:
    """Write the function of a view as the values that a decision can look up."""
    converter = registry._converter
    converter.register_structure_hook_func(
        lambda cls: get_origin(cls) is collections.abc.Callable, lambda value, _: value
    )
    write_view = converter.gen_unstructure_attrs_fromdict(AssignerView)
    read_view = converter.gen_structure_attrs_fromdict(AssignerView)

    def write(view: AssignerView) -> dict[str, Any]:
        documents = [stored.document for stored in view.blocks.values()]
        asked = {
            (document.id, ownership.fence)
            for document in (*documents, *view.writing.values())
            for ownership in document.list_pending()
        }
        times = [
            [*id_, fence, view.active_at(id_, fence)] for id_, fence in sorted(asked)
        ]
        data = write_view(view)
        data[_ACTIVE_AT] = [entry for entry in times if isfinite(entry[-1])]
        return data

    def read(data: dict[str, Any]) -> AssignerView:
        times = {((name, n), fence): at for name, n, fence, at in data[_ACTIVE_AT]}
        return read_view(
            {
                **data,
                _ACTIVE_AT: lambda id_, generation: times.get((id_, generation), inf),
            },
            AssignerView,
        )

    registry.add_hooks(AssignerView, write, read)
