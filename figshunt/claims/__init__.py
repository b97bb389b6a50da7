"""Write-once claims on idempotency keys."""
