// A reply that is lost while the caller's zone is cut off.
#pragma once

#include "net/net.h"

#include <list>

namespace camphorwell {

// The answer is dropped, and the connection stays open, if the zone is cut off when it is sent.
class zone_reply : public http_reply {
public:
    zone_reply(std::shared_ptr<http_reply> reply, std::function<bool()> isCut,
        std::list<std::shared_ptr<http_reply>>& unanswered)
        : m_reply(std::move(reply))
        , m_isCut(std::move(isCut))
        , m_unanswered(unanswered)
    {
    }
    void send(int status, const header_list& headers, const std::string& body) override
    {
        if (m_isCut())
            m_unanswered.push_back(m_reply);
        else
            m_reply->send(status, headers, body);
    }
    bool callerDisconnected() const override { return m_reply->callerDisconnected(); }

private:
    std::shared_ptr<http_reply> m_reply;
    std::function<bool()> m_isCut;
    std::list<std::shared_ptr<http_reply>>& m_unanswered;
};

} // namespace camphorwell
