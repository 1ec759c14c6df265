namespace rosemarytrail::control {} // namespace rosemarytrail::control
