// A foyer's clients: connections, requests read ahead and answered in order, and each request's way through
// casting and the pods.
#pragma once

#include "proxy/upstream.hpp"

namespace lichenlanding::foyer {

class Front {
  public:
    // `awake`: false for a moment after a standstill of the machine, until news has come.
    Front(asio::io_context& io, casting::Casting& casting, Upstream& upstream, std::function<bool()> awake);
    ~Front();

    wings::Task<> serve(wings::tcp::acceptor& acceptor);
    // What is read is answered; a connection ends with the answer behind which none waits.
    void drain();
    // Ends connections on which nothing is asked. While draining, the next request on any other is its last:
    // a client that always sends ahead would be read from until the end.
    void closeIdle();
    std::size_t open() const { return sessions_.size(); }
    // Ends what takes longer than it may: called every so often.
    void sweep(Nanos now);

    std::uint64_t served = 0, refused = 0, failed = 0;
    std::uint64_t outOfOrder = 0;  // ends that the table of attempts doesn't have: faults of ours

  private:
    struct Session;
    struct Exchange;
    wings::Task<> read(std::shared_ptr<Session> session);
    wings::Task<> write(std::shared_ptr<Session> session);
    wings::Task<> play(std::shared_ptr<Session> session, std::shared_ptr<Exchange> exchange);
    wings::Task<> send(std::shared_ptr<Session> session, std::shared_ptr<Exchange> exchange,
                       std::shared_ptr<Call> call);
    wings::Task<> settle(std::shared_ptr<Exchange> exchange);
    wings::Task<wings::Code> readBlock(std::shared_ptr<Session> session,
                                       http::request_parser<http::buffer_body>& parser, std::string& body);
    wings::Task<wings::Code> upload(std::shared_ptr<Session> session, std::shared_ptr<Exchange> exchange,
                                    wings::tcp::socket& pod);
    wings::Task<bool> passOn(std::shared_ptr<Session> session, std::shared_ptr<Exchange> exchange);
    void ready(const std::shared_ptr<Session>& session, const std::shared_ptr<Exchange>& exchange);

    asio::io_context& io_;
    casting::Casting& casting_;
    Upstream& upstream_;
    std::function<bool()> awake_;
    std::map<std::uint64_t, std::shared_ptr<Session>> sessions_;  // by the order of arrival
    std::uint64_t arrivals_ = 0;
    bool draining_ = false, ending_ = false;
};

}  // namespace lichenlanding::foyer
