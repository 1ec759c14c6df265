namespace rosemarytrail::daemon {} // namespace rosemarytrail::daemon
