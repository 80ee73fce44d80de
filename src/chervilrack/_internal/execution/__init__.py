"""Stage scheduling, deadlines, retries and the pipeline runner."""
