from .node import Node
from .ports import Call, Hearer, Ports
from .tables import Bucket, Table
from .text import read_json, write_json

__all__ = ["Bucket", "Call", "Hearer", "Node", "Ports", "Table", "read_json", "write_json"]
