namespace rosemarytrail::load {} // namespace rosemarytrail::load
