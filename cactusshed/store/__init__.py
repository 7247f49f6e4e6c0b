"""The product's records in the platform: narrow port, client, acceptance, leases."""
