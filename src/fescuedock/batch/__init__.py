"""The batch runner: owns jobs and runs their items."""
