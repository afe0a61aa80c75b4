"""Plug-ins for the kernel's decisions."""

from oleanderdyke.policies import (  # noqa: F401 - they register themselves
    admission,
    keeping,
    routing,
)
