"""Global traffic steering: routes and pools in, outcomes owned."""

__version__ = "0.1.0"
