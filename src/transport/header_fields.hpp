/// HTTP header fields of any length.
///
/// Beast's container throws std::length_error on a name or a value of about 64 KiB. Here the part of a field
/// that does not fit is kept beside the container, and written with it. Used with http::message in place of
/// http::fields.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <string>
#include <vector>

namespace lichenlanding::transport {

/// The parts of fields that http::fields can't hold. Not thread-safe.
class OversizedFields {
  public:
    /// Inserts a field into `fields`, and keeps here what does not fit:
    ///   - of a long value all but the first kMaxValueBytes, which look-ups in `fields` return;
    ///   - a field with a long name as a whole.
    /// A long Connection field becomes several, so that look-ups find all of its options.
    /// Returns whether anything is kept here.
    bool insert(boost::beast::http::fields& fields, boost::beast::http::field name,
                boost::beast::string_view nameText, boost::beast::string_view value);

    bool empty() const { return rests_.empty() && longNamed_.empty(); }
    /// Appends `fields` with the parts that are kept here, in the format of HTTP/1.1, without the empty line.
    void write(const boost::beast::http::fields& fields, std::string& text) const;

  private:
    static void insertConnectionOptions(boost::beast::http::fields& fields,
                                        boost::beast::string_view options);

    static constexpr std::size_t kMaxNameBytes = 60'000;
    static constexpr std::size_t kMaxValueBytes = 60'000;  // a stored value of this length has a rest here

    struct Field {
        std::string name, value;
    };
    std::vector<Field> rests_;  // of long values; those of one name in the order of their fields
    std::vector<Field> longNamed_;
};

/// The fields of a message. Look-ups of a field with a long value return its beginning.
class HeaderFields : public boost::beast::http::fields {
  public:
    class writer;  // NOLINT(readability-identifier-naming): required by Beast

    HeaderFields() = default;
    HeaderFields(const boost::beast::http::fields& stored, OversizedFields oversized)
        : boost::beast::http::fields(stored), oversized_(std::move(oversized)) {}

  private:
    OversizedFields oversized_;
};

/// Serializes a header, as Beast's Fields concept requires. Copies the fields only if one is oversized.
// NOLINTNEXTLINE(readability-identifier-naming)
class HeaderFields::writer {
  public:
    /// A view of the writer's buffers.
    class Buffers {
      public:
        explicit Buffers(const std::vector<boost::asio::const_buffer>& buffers)
            : begin_(buffers.data()), end_(buffers.data() + buffers.size()) {}
        const boost::asio::const_buffer* begin() const { return begin_; }
        const boost::asio::const_buffer* end() const { return end_; }

      private:
        const boost::asio::const_buffer* begin_;
        const boost::asio::const_buffer* end_;
    };
    // The names below are required by Beast.
    using const_buffers_type = Buffers;  // NOLINT(readability-identifier-naming)

    writer(const HeaderFields& fields, unsigned version, boost::beast::http::verb method);
    writer(const HeaderFields& fields, unsigned version, unsigned status);
    explicit writer(const HeaderFields& fields);  ///< of trailers
    writer(const writer&) = delete;
    Buffers get() const { return Buffers(buffers_); }

  private:
    void collect(const HeaderFields& fields);

    boost::beast::http::fields::writer stored_;
    std::string text_;  // the fields and the empty line, if one is oversized
    std::vector<boost::asio::const_buffer> buffers_;
};

}  // namespace lichenlanding::transport
