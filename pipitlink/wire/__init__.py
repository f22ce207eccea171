"""The wire protocol between nodes: protobuf messages and RPC over TCP."""
