"""Provide calls between entry hosts: CBOR messages over websockets."""
