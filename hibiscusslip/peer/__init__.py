"""Talk to the other entry hosts over websockets with CBOR."""
