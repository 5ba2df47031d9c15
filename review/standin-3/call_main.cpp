// review3-call: one HTTP call on the loopback interface. Prints the status, a space and the body; status 0:
// no answer within 3 s.
//   review3-call METHOD PORT PATH [BODY]       a call with the header "Host: localhost"
//   review3-call put PORT TOPIC KEY [VALUE]    appends a keyed record to partition 0 of a topic of the log
//   review3-call probe PORT PATH               a GET on a connection of its own; prints when its last byte
//   was
//                                              sent, when the connection or the answer ended (Unix time in
//                                              milliseconds), and the status, or "refused" (no connection),
//                                              "closed" (without a complete answer) or "timeout" (after 3 s)
#include "net/net.h"
#include "platform/platform.h"

#include <arpa/inet.h>
#include <chrono>
#include <iostream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace camphorwell;

constexpr int64_t timeoutMs = 3000;

int64_t unixMs()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string lengthPrefixed(const std::string& record)
{
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(record.size() >> shift & 0xff));
    return out + record;
}

// Reads until the head and the announced body are complete. Returns the status, or what happened instead.
std::string readAnswer(int socket)
{
    std::string answer;
    char part[4096];
    for (;;) {
        ssize_t count = recv(socket, part, sizeof part, 0);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return "timeout";
        if (count <= 0)
            return "closed";
        answer.append(part, static_cast<size_t>(count));
        size_t head = answer.find("\r\n\r\n");
        if (head == std::string::npos)
            continue;
        size_t length = 0;
        size_t field = answer.find("Content-Length: ");
        if (field != std::string::npos && field < head)
            length = std::stoul(answer.substr(field + 16));
        if (answer.size() >= head + 4 + length)
            return answer.substr(9, 3);
    }
}

void probe(int port, const std::string& path)
{
    int client = socket(AF_INET, SOCK_STREAM, 0);
    timeval limit { timeoutMs / 1000, 0 };
    setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    std::string request = "GET " + path
        + " HTTP/1.1\r\nHost: localhost\r\nTime-Left-Ms: " + std::to_string(timeoutMs) + "\r\n\r\n";
    std::string outcome = "refused";
    int64_t sentAt = unixMs();
    if (connect(client, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        bool sent = send(client, request.data(), request.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(request.size());
        sentAt = unixMs();
        outcome = sent ? readAnswer(client) : "closed";
    }
    std::cout << sentAt << " " << unixMs() << " " << outcome << "\n";
    close(client);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> given(argv + 1, argv + argc);
    if (given.size() < 3)
        return 2;
    std::string method = given[0];
    std::string path = given[2];
    if (method == "probe") {
        probe(std::stoi(given[1]), path);
        return 0;
    }
    std::string body = given.size() > 3 ? given[3] : std::string();
    if (method == "put") {
        method = "POST";
        path = "/log-append?Topic=" + given[2] + "&part=0";
        body = lengthPrefixed(
            platform::encodeKeyedRecord(given.at(3), given.size() > 4 ? given[4] : std::string()));
    }
    event_loop loop;
    http_client client(loop, "127.0.0.1", static_cast<uint16_t>(std::stoi(given[1])), 1);
    client.call(method, path, { { "Host", "localhost" }, { "Time-Left-Ms", "3000" } }, body, timeoutMs,
        [&](const http_response& answer) {
            std::cout << answer.status << " " << answer.body << "\n";
            loop.stop();
        });
    loop.run();
    return 0;
}
