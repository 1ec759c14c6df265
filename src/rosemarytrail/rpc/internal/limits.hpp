#ifndef ROSEMARYTRAIL_RPC_INTERNAL_LIMITS_HPP
#define ROSEMARYTRAIL_RPC_INTERNAL_LIMITS_HPP

#include <capnp/message.h>
#include <kj/exception.h>

#include <cstddef>

namespace rosemarytrail::rpc::internal {

/** @brief Maximum nesting depth of a message from a peer. */
inline constexpr int nesting_limit = 16;

/**
 * @brief Fails the current call with an error.
 * @param text Error message.
 */
[[noreturn]] inline void fail_call(const char* text)
{
    kj::throwFatalException(kj::Exception{kj::Exception::Type::FAILED, __FILE__,
                                          __LINE__, kj::heapString(text)});
}

/**
 * @brief Reader limits for messages from a peer.
 * @param bytes Maximum message size, in bytes.
 * @return Options of the reader.
 */
[[nodiscard]] inline capnp::ReaderOptions reader_options(std::size_t bytes)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = bytes / sizeof(capnp::word);
    options.nestingLimit = nesting_limit;
    return options;
}

} // namespace rosemarytrail::rpc::internal

#endif
