"""Stand-ins and helpers that the cases of this review share."""
