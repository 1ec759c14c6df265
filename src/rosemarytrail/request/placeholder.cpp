namespace rosemarytrail::request {} // namespace rosemarytrail::request
