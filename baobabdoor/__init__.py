"""Manager of fleet capacity and maintenance behind a few entry VMs."""
