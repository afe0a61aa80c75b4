"""Serving system for LLM prompts that return after long gaps."""

from __future__ import annotations

__version__ = '0.1.0'
