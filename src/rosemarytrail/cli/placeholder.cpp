namespace rosemarytrail::cli {} // namespace rosemarytrail::cli
