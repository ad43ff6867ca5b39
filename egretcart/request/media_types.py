"""Media types of replies."""

JSON_MEDIA_TYPE = "application/json"
