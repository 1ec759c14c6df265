namespace rosemarytrail::metrics {} // namespace rosemarytrail::metrics
