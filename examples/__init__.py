"""Run the product on one machine."""
