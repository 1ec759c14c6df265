namespace rosemarytrail::http {} // namespace rosemarytrail::http
