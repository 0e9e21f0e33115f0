"""Small stand-ins for the platform, backend servers and the network between them."""
