/// An HTTP parser with a bound for each part of a message that a peer can send without end.
///
/// Beast takes a field off the read buffer as soon as it has the field and the first byte of the next one,
/// and limits what is in the buffer: fields that arrive one by one are not counted together. It does not
/// count trailers and chunk headers at all; they stay in the read buffer until they are complete. Hence the
/// bounds here:
///   - fields: counted by the parser, as received and as the memory that they take once parsed;
///   - a start line, a chunk header, the trailers: by the size of the read buffer, see limitReadBuffer();
///   - all chunk headers of a body together: in proportion to the body, see countBody().
#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>

#include "limits/memory_budget.hpp"
#include "transport/body_reader.hpp"
#include "transport/header_fields.hpp"

namespace lichenlanding::transport {

/// Limits of the fields of one message.
struct FieldLimits {
    std::size_t receivedBytes;  ///< of the header
    /// Of the memory of the parsed fields, with all their copies: what is beyond needs a share of a budget.
    std::size_t unsharedBytes = std::numeric_limits<std::size_t>::max();
    std::size_t copies = 1;  ///< copies of the fields that are held at the same time
};

/// The memory of a parsed field besides its text: nodes of the containers, and the allocator's own.
constexpr std::size_t kFieldOverheadBytes = 96;

/// Limits what a connection buffers, so that a start line, a chunk header or the trailers of a message end
/// with http::error::buffer_overflow beyond `headerBytes` and a block of a body.
inline void limitReadBuffer(beast::flat_buffer& buffer, std::size_t headerBytes) {
    buffer.max_size(std::max(buffer.size(), headerBytes) + kBodyBlockBytes);
}

/// Fails with http::error::header_limit if the header is larger than the limits, and with
/// errc::not_enough_memory if the parsed fields need more memory than they have. Trailers are dropped. Used
/// from one thread.
template <bool IsRequest, typename Body = beast::http::buffer_body>
class BoundedParser : public beast::http::parser<IsRequest, Body> {
  public:
    /// `memory` belongs to the budget that the fields draw on; without a budget they have `unsharedBytes`.
    explicit BoundedParser(const FieldLimits& limits, limits::MemoryBudget::Share memory = {})
        : limits_(limits), memory_(std::move(memory)) {
        this->header_limit(static_cast<std::uint32_t>(limits.receivedBytes));
    }

    /// The memory of the parsed fields beyond `unsharedBytes`. Leaves the parser without any, to be called
    /// once the header is complete.
    limits::MemoryBudget::Share takeMemory() { return std::move(memory_); }
    /// The parsed header with all its fields. get() has no more than the beginning of oversized ones.
    beast::http::header<IsRequest, HeaderFields> header() const {
        beast::http::header<IsRequest, HeaderFields> header(this->get().base(), oversized_);
        header.version(this->get().version());
        if constexpr (IsRequest) {
            header.method_string(this->get().method_string());
            header.target(this->get().target());
        } else {
            header.result(this->get().result_int());
            header.reason(this->get().reason());
        }
        return header;
    }
    /// Of the parsed fields, with all their copies.
    std::size_t fieldBytes() const { return fieldBytes_; }

    /// Counts `parsed` bytes behind the header, of which `payload` belong to the body. Returns an error once
    /// the rest is more than chunks without extensions take, even if each has a single byte.
    ErrorCode countBody(std::size_t parsed, std::size_t payload) {
        constexpr std::size_t kChunkHeaderBytes = 16;
        framingBytes_ += parsed - std::min(payload, parsed);
        framingAllowance_ += payload * kChunkHeaderBytes;
        if (framingBytes_ <= framingAllowance_ + limits_.receivedBytes) return {};
        return beast::http::error::bad_chunk_extension;
    }

  private:
    void on_field_impl(beast::http::field name, beast::string_view nameText, beast::string_view value,
                       beast::error_code& error) override {
        constexpr std::size_t kSeparatorBytes = 3;  // colon and line end
        if (this->is_header_done()) return;
        const auto textBytes = nameText.size() + value.size() + kSeparatorBytes;
        receivedBytes_ += textBytes;
        fieldBytes_ += limits_.copies * (textBytes + kFieldOverheadBytes);
        if (receivedBytes_ > limits_.receivedBytes) {
            error = beast::http::error::header_limit;
        } else if (fieldBytes_ > limits_.unsharedBytes &&
                   !memory_.resize(fieldBytes_ - limits_.unsharedBytes)) {
            error = make_error_code(boost::system::errc::not_enough_memory);
        } else if (oversized_.insert(this->get(), name, nameText, value)) {
            fieldBytes_ += textBytes;  // the copy that is written
        }
    }

    const FieldLimits limits_;
    limits::MemoryBudget::Share memory_;
    OversizedFields oversized_;
    std::size_t receivedBytes_ = 0;
    std::size_t fieldBytes_ = 0;
    std::uint64_t framingBytes_ = 0, framingAllowance_ = 0;
};

}  // namespace lichenlanding::transport
