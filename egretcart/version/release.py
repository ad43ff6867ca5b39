"""The release number of this package."""

RELEASE = "0.1.0"
