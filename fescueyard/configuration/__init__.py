"""The configuration: versioned objects such as services and customers."""
