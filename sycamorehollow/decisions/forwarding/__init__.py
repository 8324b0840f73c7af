"""Decision logic of the gateway for forwarded requests, free of I/O."""
