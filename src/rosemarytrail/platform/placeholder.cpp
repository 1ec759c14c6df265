namespace rosemarytrail::platform {} // namespace rosemarytrail::platform
