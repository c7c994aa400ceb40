import gc
import sys
import types

SHARED = (type, types.ModuleType, types.CodeType, types.BuiltinFunctionType)


def heap_bytes(node, stops):
    """Bytes of the objects that a node holds: all that can be reached from it, without code and without what stands
    in `stops`, by type."""
    seen, stack, total = {id(node)}, [node], 0
    while stack:
        held = stack.pop()
        if isinstance(held, SHARED) or isinstance(held, stops):
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
