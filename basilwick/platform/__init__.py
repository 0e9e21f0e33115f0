"""Access to the platform: its key-value service, its settings and its HTTP protocol."""
