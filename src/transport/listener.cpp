#include "transport/listener.hpp"

#include <algorithm>
#include <array>

#include "transport/log.hpp"

namespace lichenlanding::transport {
namespace {

constexpr Nanos kListenRetryInterval = 100 * kMillisecond;

bool isTransient(const ErrorCode& code) {
    namespace errc = boost::system::errc;
    constexpr std::array kTransient = {errc::address_in_use,      errc::address_not_available,
                                       errc::too_many_files_open, errc::too_many_files_open_in_system,
                                       errc::no_buffer_space,     errc::not_enough_memory};
    return std::any_of(kTransient.begin(), kTransient.end(),
                       [&](errc::errc_t transient) { return code == errc::make_error_condition(transient); });
}

Task<> openAndServe(asio::io_context& io, tcp::acceptor& acceptor, std::string address, const char* step,
                    Serve serve) {
    auto opening = listenWhenAvailable(io, std::move(address));
    acceptor = co_await std::move(opening);
    spawn(io, step, serve(acceptor));
}

}  // namespace

Task<tcp::acceptor> listenWhenAvailable(asio::io_context& io, std::string address) {
    for (;;) {
        try {
            co_return listen(io, address);
        } catch (const boost::system::system_error& error) {
            if (!isTransient(error.code()))
                throw boost::system::system_error(error.code(), "listen on " + address);
            log("listen_failed",
                {{"step", "listen"}, {"address", address}, {"error", error.code().message()}});
        }
        co_await sleep(kListenRetryInterval);
    }
}

void serveWhenAvailable(asio::io_context& io, tcp::acceptor& acceptor, std::string address, const char* step,
                        Serve serve) {
    asio::co_spawn(io, openAndServe(io, acceptor, std::move(address), step, std::move(serve)),
                   [](std::exception_ptr failure) {
                       if (failure) std::rethrow_exception(failure);
                   });
}

}  // namespace lichenlanding::transport
