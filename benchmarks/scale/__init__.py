"""The scale run's parts: hollow heads and shelfs in shared processes beside real ones, and the counts of both."""
