"""An instance on the platform: watch, leader election, links and request path."""
