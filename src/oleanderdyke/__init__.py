"""Serve prompts that come back after long gaps."""

from __future__ import annotations

__version__ = '0.1.0'
