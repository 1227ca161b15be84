"""An ingress, a gate and a worker in one process, for scenarios."""
