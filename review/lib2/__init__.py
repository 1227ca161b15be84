"""What the scripts of cases 6 to 10 share: a deployment and stand-ins."""
