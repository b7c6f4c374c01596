"""Global traffic steering: sends requests to backend servers by region."""

__version__ = "0.1.0"
