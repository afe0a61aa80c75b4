"""Call the services that surround the product."""
