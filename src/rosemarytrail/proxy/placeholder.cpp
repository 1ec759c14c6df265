namespace rosemarytrail::proxy {} // namespace rosemarytrail::proxy
