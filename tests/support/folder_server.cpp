// A stand-in mirror for tests of the command line: serves the files of a folder on a free loopback port,
// which it prints, until it is ended or for two minutes.
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
            // A name with a quoted slash is a file's as it stands.
            if (!file.is_open())
                file.open(kFolder + evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request)),
                          std::ios::binary);
            std::free(path);
            std::stringstream bytes;
            const bool there = file.is_open() && bytes << file.rdbuf();
            const auto text = bytes.str();
            evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
            evhttp_send_reply(request, there ? 200 : 404, nullptr, nullptr);
        },
        nullptr);
    auto* bound = evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    sockaddr_in where{};
    socklen_t size = sizeof where;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&where), &size);
    std::printf("%d\n", ntohs(where.sin_port));
    std::fflush(stdout);
    const timeval life{120, 0};
    event_base_loopexit(base, &life);
    event_base_dispatch(base);
    evhttp_free(server);
    event_base_free(base);
}
