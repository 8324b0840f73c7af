"""Stand-ins of the platform, its consumers and replicas for the cases."""
