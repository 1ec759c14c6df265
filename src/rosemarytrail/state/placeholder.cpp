namespace rosemarytrail::state {} // namespace rosemarytrail::state
