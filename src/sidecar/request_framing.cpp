#include "sidecar/request_framing.hpp"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace lichenlanding::sidecar {
namespace {

bool declaresTransferCoding(std::string_view line) {
    constexpr std::string_view kName = "transfer-encoding";
    return line.size() >= kName.size() && strncasecmp(line.data(), kName.data(), kName.size()) == 0;
}

}  // namespace

bool RequestFraming::add(std::string_view bytes) {
    while (!bytes.empty() && !exceeded_ && part_ != Part::body) {
        if (part_ == Part::chunk) {
            bytes.remove_prefix(skipChunk(bytes));
            continue;
        }
        const auto end = bytes.find('\n');
        addToLine(bytes.substr(0, end));
        if (end == std::string_view::npos) break;
        endLine();
        bytes.remove_prefix(end + 1);
    }
    return !exceeded_;
}

// Returns the number of bytes that belong to the chunk.
std::size_t RequestFraming::skipChunk(std::string_view bytes) {
    const auto skipped = static_cast<std::size_t>(std::min<std::uint64_t>(chunkRemaining_, bytes.size()));
    chunkRemaining_ -= skipped;
    if (chunkRemaining_ == 0) part_ = Part::chunkLine;
    return skipped;
}

void RequestFraming::addToLine(std::string_view text) {
    const auto space = kMaxChunkLine - line_.size();
    if (part_ == Part::chunkLine && text.size() > space) exceeded_ = true;
    line_.append(text.substr(0, space));
}

void RequestFraming::endLine() {
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    const bool empty = line_.empty();
    if (part_ == Part::chunkLine) {
        endChunkLine();
    } else {
        chunked_ = chunked_ || declaresTransferCoding(line_);
        exceeded_ = ++lines_ > kMaxLines;
        if (empty) part_ = chunked_ && part_ == Part::header ? Part::chunkLine : Part::body;
    }
    line_.clear();
}

// Like evhttp, passes over empty lines, of which one ends each chunk. Whatever evhttp may read differently
// counts as trailers, the part with the strictest bound.
void RequestFraming::endChunkLine() {
    if (line_.empty()) return;
    std::uint64_t size = 0;
    const auto read = std::from_chars(line_.data(), line_.data() + line_.size(), size, 16);
    part_ = read.ec == std::errc() && size > 0 ? Part::chunk : Part::trailers;
    chunkRemaining_ = size;
}

}  // namespace lichenlanding::sidecar
