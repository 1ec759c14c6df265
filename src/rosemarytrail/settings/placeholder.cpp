namespace rosemarytrail::settings {} // namespace rosemarytrail::settings
