from .node import Node
from .ports import Call, Hearer, Ports
from .tables import Bucket, Table
from .terms import Terms
from .text import read_json, write_json

__all__ = ["Bucket", "Call", "Hearer", "Node", "Ports", "Table", "Terms", "read_json", "write_json"]
