namespace rosemarytrail::rpc {} // namespace rosemarytrail::rpc
