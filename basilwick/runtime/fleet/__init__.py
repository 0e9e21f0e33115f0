"""An instance on the platform: watch, leader, links and the way of a request."""
