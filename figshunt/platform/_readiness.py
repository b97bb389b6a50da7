"""Where the platform asks whether a daemon may get callers."""

READINESS_PATH = "/readiness"
