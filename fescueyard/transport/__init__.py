"""Network I/O: HTTP, process streams, datagrams, backend client."""
