"""Heap size of a node."""

import gc
import sys
import types

CODE_TYPES = (type, types.ModuleType, types.CodeType, types.BuiltinFunctionType)


def heap_bytes(node, stops):
    """Bytes of all objects reachable from a node, except code and the types in `stops`."""
    seen, stack, total = {id(node)}, [node], 0
    while stack:
        held = stack.pop()
        if isinstance(held, CODE_TYPES) or isinstance(held, stops):
            continue
        total += sys.getsizeof(held)
        if isinstance(held, types.FunctionType):
            inner = [*(held.__closure__ or ()), *(held.__defaults__ or ())]
        else:
            inner = gc.get_referents(held)
        for part in inner:
            if id(part) not in seen:
                seen.add(id(part))
                stack.append(part)
    return total
