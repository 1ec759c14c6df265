namespace rosemarytrail::documents {} // namespace rosemarytrail::documents
