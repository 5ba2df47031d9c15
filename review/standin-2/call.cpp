// Sends one HTTP request and prints the status and the body of the answer.
//
//   call METHOD HOST:PORT PATH NAME TIMEOUT_MS [BODY_FILE]
//
// NAME is the value of the Host header. Without an answer the status is 000.
#include <arpa/inet.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr size_t chunkBytes = 65536;

int connectTo(const std::string& address, int timeoutMs)
{
    size_t colon = address.rfind(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr) != 1)
        return -1;
    int connection = socket(AF_INET, SOCK_STREAM, 0);
    timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (connect(connection, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
        close(connection);
        return -1;
    }
    return connection;
}

bool sendAll(int connection, const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t count = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

// Reads until the peer closes the connection.
std::string receiveAll(int connection)
{
    std::string out;
    std::string chunk(chunkBytes, '\0');
    for (;;) {
        ssize_t count = recv(connection, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return out;
        out.append(chunk, 0, static_cast<size_t>(count));
    }
}

std::string readFile(const char* name)
{
    std::ifstream in(name, std::ios::binary);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 6) {
        std::cerr << "usage: call METHOD HOST:PORT PATH NAME TIMEOUT_MS [BODY_FILE]\n";
        return 2;
    }
    int timeoutMs = std::atoi(argv[5]);
    std::string body = argc > 6 ? readFile(argv[6]) : std::string();
    std::string request = std::string(argv[1]) + " " + argv[3] + " HTTP/1.1\r\nHost: " + argv[4]
        + "\r\nContent-Type: application/json\r\nConnection: close\r\nTime-Left-Ms: " + argv[5]
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    int connection = connectTo(argv[2], timeoutMs);
    std::string answer;
    if (connection >= 0 && sendAll(connection, request))
        answer = receiveAll(connection);
    size_t headerEnd = answer.find("\r\n\r\n");
    bool complete = answer.starts_with("HTTP/1.1 ") && headerEnd != std::string::npos;
    std::cout << (complete ? answer.substr(9, 3) : "000") << " "
              << (complete ? answer.substr(headerEnd + 4) : "") << "\n";
    return 0;
}
