namespace rosemarytrail::placement {} // namespace rosemarytrail::placement
