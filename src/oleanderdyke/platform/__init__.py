"""Header names, record formats and clients of the hosting platform."""
