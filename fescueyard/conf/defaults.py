"""Default values of the settings."""

BODY_BYTES_MAX = 8 * 1024 * 1024
ANSWER_BYTES_MAX = 8 * 1024 * 1024
SECRET_BYTES_MIN = 16
LOG_LEVEL = "info"
ANNOUNCEMENT_TTL_MS = 3_000
STOP_TIMEOUT_MS = 30_000
VOTERS_MAX = 5
# The memory of the VMs of a node and of a control process, and their
# descriptors.
NODE_MEMORY_MB = 200
CONTROL_MEMORY_MB = 296
FDS_MAX = 4_100
# Ordinary requests have fewer than a hundred fields.
HEADER_FIELDS_MAX = 1_000
ENVIRONMENT_PREFIX = "FESCUEYARD_"
