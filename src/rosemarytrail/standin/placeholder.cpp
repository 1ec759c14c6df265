namespace rosemarytrail::standin {} // namespace rosemarytrail::standin
