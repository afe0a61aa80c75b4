"""Typed messages between entries and agents over websocket links."""
