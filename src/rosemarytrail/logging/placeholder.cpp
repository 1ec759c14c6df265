namespace rosemarytrail::logging {} // namespace rosemarytrail::logging
