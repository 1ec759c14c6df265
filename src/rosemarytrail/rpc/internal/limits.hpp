#ifndef ROSEMARYTRAIL_RPC_INTERNAL_LIMITS_HPP
#define ROSEMARYTRAIL_RPC_INTERNAL_LIMITS_HPP

#include <capnp/message.h>
#include <kj/exception.h>

#include <cstddef>

namespace rosemarytrail::rpc::internal {

/** @brief Deepest nesting of a message of a peer. */
inline constexpr int nesting_limit = 16;

/**
 * @brief Ends the call that is being served or made with an error.
 * @param text What is wrong.
 */
[[noreturn]] inline void fail_call(const char* text)
{
    kj::throwFatalException(kj::Exception{kj::Exception::Type::FAILED, __FILE__,
                                          __LINE__, kj::heapString(text)});
}

/**
 * @brief Bounds on the messages of a peer.
 * @param bytes Largest message.
 * @return Options for the reader.
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
