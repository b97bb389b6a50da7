"""Router for language-model traffic with service levels and priorities."""

__version__ = "0.1.0"

__all__ = ["__version__"]
