"""Stand in for the systems around the product, in tests and the demo."""
