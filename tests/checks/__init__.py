"""Running the checks of the project side by side."""
