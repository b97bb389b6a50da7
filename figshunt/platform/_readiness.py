"""The path of the platform's readiness checks."""

READINESS_PATH = "/readiness"
