"""The wire format between nodes: protobuf messages, and RPC over TCP."""
