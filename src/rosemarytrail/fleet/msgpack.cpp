#include <rosemarytrail/fleet/msgpack.hpp>

#include <utility>
#include <vector>

namespace rosemarytrail::fleet {

namespace {

using json = nlohmann::json;

/** @brief Builds a value from the parser's events and ends the parsing of one
 * that nests too deep. */
class bounded_builder final : public nlohmann::json_sax<json>
{
public:
    /** @param to Where the value is stored. */
    explicit bounded_builder(json& to)
        : root_{to}
    {}

    bool null() override { return add(nullptr); }
    bool boolean(bool it) override { return add(it); }
    bool number_integer(number_integer_t it) override { return add(it); }
    bool number_unsigned(number_unsigned_t it) override { return add(it); }
    bool number_float(number_float_t it, const string_t& /*text*/) override
    {
        return add(it);
    }
    bool string(string_t& it) override { return add(std::move(it)); }
    bool binary(binary_t& it) override { return add(std::move(it)); }
    bool start_object(std::size_t /*size*/) override
    {
        return open(json::object());
    }
    bool key(string_t& it) override
    {
        member_ = &(*open_.back())[std::move(it)];
        return true;
    }
    bool end_object() override { return close(); }
    bool start_array(std::size_t /*size*/) override
    {
        return open(json::array());
    }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) override
    {
        return false;
    }

private:
    [[nodiscard]] json& store(json&& it)
    {
        if (open_.empty()) {
            root_ = std::move(it);
            return root_;
        }
        if (open_.back()->is_array()) {
            open_.back()->push_back(std::move(it));
            return open_.back()->back();
        }
        *member_ = std::move(it);
        return *member_;
    }

    bool add(json it)
    {
        static_cast<void>(store(std::move(it)));
        return true;
    }

    // An array does not grow while one of its elements is open, so the pointers
    // stay valid.
    [[nodiscard]] bool open(json it)
    {
        if (open_.size() >= max_msgpack_depth) {
            return false;
        }
        open_.push_back(&store(std::move(it)));
        return true;
    }

    [[nodiscard]] bool close()
    {
        open_.pop_back();
        return true;
    }

    json& root_;
    /** @brief Arrays and objects that have not ended. */
    std::vector<json*> open_;
    /** @brief Value of the last key. */
    json* member_{};
};

} // namespace

json parse_msgpack(std::string_view bytes)
{
    json result;
    bounded_builder builder{result};
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder,
                         json::input_format_t::msgpack)) {
        return json(json::value_t::discarded);
    }
    return result;
}

} // namespace rosemarytrail::fleet
