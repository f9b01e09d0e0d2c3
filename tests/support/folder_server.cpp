// HTTP server for command-line tests that acts as a metadata mirror. Serves the files of the folder argv[1]
// on a free loopback port, prints the port, and exits after two minutes unless it is killed earlier.
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

int main(int /*unused*/, char** argv) {
    static const std::string kFolder = argv[1];
    auto* base = event_base_new();
    auto* server = evhttp_new(base);
    evhttp_set_gencb(
        server,
        [](evhttp_request* request, void*) {
            char* path =
                evhttp_uridecode(evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request)), 0, nullptr);
            std::ifstream file(kFolder + (path ? path : ""), std::ios::binary);
            // A file name may contain a percent-encoded slash, so the path is also tried without decoding.
            if (!file.is_open())
                file.open(kFolder + evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request)),
                          std::ios::binary);
            std::free(path);
            std::stringstream contents;
            const bool found = file.is_open() && contents << file.rdbuf();
            const auto text = contents.str();
            evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
            evhttp_send_reply(request, found ? 200 : 404, nullptr, nullptr);
        },
        nullptr);
    auto* bound = evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
    std::printf("%d\n", ntohs(address.sin_port));
    std::fflush(stdout);
    const timeval maxRunTime{120, 0};
    event_base_loopexit(base, &maxRunTime);
    event_base_dispatch(base);
    evhttp_free(server);
    event_base_free(base);
}
